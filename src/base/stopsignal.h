#pragma once

namespace persimmon {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all it starts; call before any thread is
/// started.
void
BlockStopSignals();

/// Waits for SIGTERM, SIGINT or SIGHUP; returns its number.
int
WaitForStopOrReloadSignal();

/// Waits for SIGTERM or SIGINT; returns its number.
int
WaitForStopSignal();

} // namespace persimmon
