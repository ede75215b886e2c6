#include "base/stopsignal.h"

#include <csignal>

namespace persimmon {
namespace {

sigset_t
StopAndReloadSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

void
BlockStopSignals()
{
  const sigset_t signals = StopAndReloadSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int
WaitForStopOrReloadSignal()
{
  const sigset_t signals = StopAndReloadSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  return signal;
}

int
WaitForStopSignal()
{
  int signal = WaitForStopOrReloadSignal();
  while (signal == SIGHUP) {
    signal = WaitForStopOrReloadSignal();
  }
  return signal;
}

} // namespace persimmon
