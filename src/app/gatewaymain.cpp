#include "base/stopsignal.h"
#include "gateway/gatewayevents.h"
#include "gateway/gatewayprocess.h"
#include "gateway/gatewaysettings.h"
#include "platform/platformdialect.h"
#include "settings/settings.h"

#include <csignal>

namespace {

using namespace persimmon;

/// Log lines that may wait for a slow reader: some seconds of a busy gateway.
constexpr std::size_t kWaitingLogLines = 2000;

int
Serve(const gateway::gateway_settings& aSettings)
{
  gateway::gateway_process<dialect::platform_dialect> process(aSettings);
  if (!process.Start()) {
    WriteLog(gateway::kGatewayNotStarted, { { "reason", process.LastReason() } });
    return exit_failure;
  }
  while (WaitForSignal() == SIGHUP) {
    // Flags and variables hold for the life of a process.
    WriteLog(gateway::kReloaded, { { "changed", "nothing" } });
  }
  process.Stop();
  return exit_success;
}

} // namespace

int
main(int aCount, char** aArguments)
{
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
  StartLogThread(kWaitingLogLines);
  const int code = Serve(parsed);
  StopLogThread();
  return code;
}
