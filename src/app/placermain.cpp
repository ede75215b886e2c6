#include "app/placershell.h"
#include "base/log.h"
#include "base/random.h"
#include "base/stopsignal.h"
#include "placement/placementevents.h"
#include "settings/settings.h"

using namespace persimmon;

namespace {

constexpr std::int64_t kShortestLeaseMs = 500;
constexpr std::int64_t kLongestLeaseMs = 600'000;
constexpr double kLargestWeight = 1'000'000;
constexpr std::int64_t kMostLoadSlots = 100'000;

void
Declare(settings& aSettings)
{
  aSettings.AddRequired("id", "name of this placer, unique among the live ones");
  aSettings.Add("zone", "", "availability zone of this process");
  aSettings.AddRequired("store-url", "http://ip:port of the platform");
  aSettings.Add("router", "", "ip:port of the local router's mesh listener");
  aSettings.Add("mesh-key", "", "key that the processes of the mesh share");
  aSettings.Add("lease-ms", "9000", "length of the lease in milliseconds");
  aSettings.Add("downtime-weight", "1", "weight of a group that should serve and does not");
  aSettings.Add("stranded-weight", "1", "weight of an instance that is idle while a service waits");
  aSettings.Add("load-slots", "16", "instances that may fetch weights at the same time");
  aSettings.Add("admin-listen", "", "ip:port for /ready, /metrics and /status");
  aSettings.Add("history", "", "file for history events; a placer writes none so far");
  aSettings.AddLogLevel();
}

app::placer_shell_options
Read(settings& aSettings)
{
  app::placer_shell_options options;
  // The suffix keeps the claims of an earlier process of the same name apart.
  options.core.self.value =
    aSettings.Text("id") + "-" + random_source(EntropySeed()).NextHex().substr(0, 8);
  options.core.lease.ms = aSettings.Number("lease-ms", kShortestLeaseMs, kLongestLeaseMs);
  options.core.weights.downtime = aSettings.Double("downtime-weight", 0, kLargestWeight);
  options.core.weights.stranded = aSettings.Double("stranded-weight", 0, kLargestWeight);
  options.core.loadSlots =
    static_cast<std::uint64_t>(aSettings.Number("load-slots", 1, kMostLoadSlots));
  options.storeUrl = aSettings.Text("store-url");
  options.zone.value = aSettings.Text("zone");
  options.router.value = aSettings.Text("router");
  options.meshKey = aSettings.Text("mesh-key");
  options.adminListen.value = aSettings.Text("admin-listen");
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  settings values("persimmon-placer", "Makes instances match documents.", PERSIMMON_VERSION);
  Declare(values);
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  const log_level level = values.LogLevel();
  app::placer_shell_options options = Read(values);
  if (const auto code = values.Finish()) {
    return *code;
  }
  BlockStopSignals();
  StartLog("placer " + values.Text("id"), level);
  metrics_registry metrics;
  app::placer_shell shell(std::move(options), metrics);
  if (!shell.Start()) {
    return exit_failure;
  }
  WriteLog(placement::kPlacerStarted, { { "id", values.Text("id") } });
  const int signal = WaitForStopSignal();
  WriteLog(placement::kPlacerStopping, { { "signal", std::to_string(signal) } });
  shell.Stop();
  return exit_success;
}
