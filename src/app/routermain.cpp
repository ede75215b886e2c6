#include "app/router/routerevents.h"
#include "app/router/routerprocess.h"
#include "settings/settings.h"

#include <csignal>

namespace {

/// Blocks the signals that ask for a stop, for all threads that are started later.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  using namespace persimmon;
  settings values("persimmon-router",
                  "Routes callers' requests to the upstreams of services.",
                  PERSIMMON_VERSION);
  router::DeclareRouterSettings(values);
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  const router::router_settings parsed = router::ReadRouterSettings(values);
  if (const auto code = values.Finish()) {
    return *code;
  }
  StartLog(parsed.id.value, parsed.lowestLevel);
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = BlockStopSignals();
  router::router_process process(parsed);
  if (!process.Start()) {
    WriteLog(router::kRouterNotStarted, { { "reason", process.LastReason() } });
    return exit_failure;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  process.Stop();
  return exit_success;
}
