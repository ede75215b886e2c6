#pragma once

namespace persimmon::standins {

/// Blocks SIGTERM and SIGINT in this thread and all it starts; call before any thread is started.
void
BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void
WaitForStopSignal();

} // namespace persimmon::standins
