#pragma once

namespace persimmon {

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in the threads that it starts, so
/// that the functions below receive them. Call before any thread is started.
void
BlockStopSignals();

/// Waits for SIGTERM, SIGINT or SIGHUP (reload of the settings) and returns the signal number.
int
WaitForStopOrReloadSignal();

/// Waits for SIGTERM or SIGINT, ignoring SIGHUP, and returns the signal number.
int
WaitForStopSignal();

} // namespace persimmon
