#include "app/router/routerevents.h"
#include "app/router/routerprocess.h"
#include "base/stopsignal.h"
#include "settings/settings.h"

#include <csignal>

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
  BlockStopSignals();
  router::router_process process(parsed);
  if (!process.Start()) {
    WriteLog(router::kRouterNotStarted, { { "reason", process.LastReason() } });
    return exit_failure;
  }
  WaitForStopSignal();
  process.Stop();
  return exit_success;
}
