#include "base/stopsignal.h"
#include "gateway/gatewayevents.h"
#include "gateway/gatewayprocess.h"
#include "gateway/gatewaysettings.h"
#include "platform/platformdialect.h"
#include "settings/settings.h"

#include <csignal>

int
main(int aCount, char** aArguments)
{
  using namespace persimmon;
  settings values("persimmon-gateway",
                  "Routes callers' calls to upstreams and forms the groups of model engines.",
                  PERSIMMON_VERSION);
  gateway::DeclareGatewaySettings(values);
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  const gateway::gateway_settings parsed = gateway::ReadGatewaySettings(values);
  if (const auto code = values.Finish()) {
    return *code;
  }
  StartLog(parsed.id.value, parsed.lowestLevel);
  std::signal(SIGPIPE, SIG_IGN);
  BlockStopSignals();
  gateway::gateway_process<dialect::platform_dialect> process(parsed);
  if (!process.Start()) {
    WriteLog(gateway::kGatewayNotStarted, { { "reason", process.LastReason() } });
    return exit_failure;
  }
  while (WaitForSignal() == SIGHUP) {
    // Flags and variables hold for the life of a process; what the file holds is the same.
    WriteLog(gateway::kReloaded, { { "changed", "nothing" } });
  }
  process.Stop();
  return exit_success;
}
