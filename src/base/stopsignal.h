#pragma once

namespace persimmon {

/// Blocks SIGTERM and SIGINT in this thread and all it starts; call before any thread is started.
void
BlockStopSignals();

/// Waits for SIGTERM or SIGINT; returns its number.
int
WaitForStopSignal();

} // namespace persimmon
