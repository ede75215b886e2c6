#include "gateway/gatewaysettings.h"

namespace persimmon::gateway {
namespace {

constexpr std::int64_t kMaxSpanMs = 3600000;
constexpr double kMaxRatio = 10;
constexpr double kMaxSlack = 1e6;

} // namespace

void
DeclareGatewaySettings(settings& aSettings)
{
  aSettings.AddRequired("id", "name of this process, unique among all");
  aSettings.AddRequired("zone", "availability zone of this process");
  aSettings.AddRequired("listen", "address for callers, ip:port");
  aSettings.AddRequired("readiness-listen", "address for the balancer's readiness question");
  aSettings.AddRequired("store", "address of the platform's store, ip:port");
  aSettings.Add("metrics-listen", "", "address for metrics, ip:port");
  aSettings.Add("mesh-listen", "", "address for other gateways, ip:port");
  aSettings.Add("peers", "", "mesh addresses of other gateways, ip:port, between commas");
  aSettings.Add("mesh-key", "", "key that all members of the mesh share");
  aSettings.Add("grace-ms", "8000", "time from the signal to stop until the process is killed");
  aSettings.Add("repeat-ratio", "0.2", "repeats that a service may get for each call");
  aSettings.Add("repeat-slack", "20", "repeats in a window on top, for all gateways together");
  aSettings.Add("repeat-window-ms", "10000", "window in which repeats are counted");
  aSettings.AddLogLevel();
  aSettings.AddSettingsFile();
}

settings_change
CompareSettings(const gateway_settings& aRunning, const gateway_settings& aRead)
{
  settings_change change;
  const auto compare = [](std::vector<std::string>& aNames, const char* aName, bool aSame) {
    if (!aSame) {
      aNames.emplace_back(aName);
    }
  };
  const dispatch::repeat_limits& was = aRunning.repeats;
  const dispatch::repeat_limits& is = aRead.repeats;
  compare(change.taken, "peers", aRunning.peers == aRead.peers);
  compare(change.taken, "repeat-ratio", was.ratio == is.ratio);
  compare(change.taken, "repeat-slack", was.slack == is.slack);
  compare(change.needRestart, "repeat-window-ms", was.window == is.window);
  compare(change.needRestart, "id", aRunning.id == aRead.id);
  compare(change.needRestart, "zone", aRunning.zone == aRead.zone);
  compare(change.needRestart, "listen", aRunning.listen == aRead.listen);
  compare(
    change.needRestart, "readiness-listen", aRunning.readinessListen == aRead.readinessListen);
  compare(change.needRestart, "metrics-listen", aRunning.metricsListen == aRead.metricsListen);
  compare(change.needRestart, "mesh-listen", aRunning.meshListen == aRead.meshListen);
  compare(change.needRestart, "mesh-key", aRunning.meshKey == aRead.meshKey);
  compare(change.needRestart, "store", aRunning.store == aRead.store);
  compare(change.needRestart, "grace-ms", aRunning.grace == aRead.grace);
  compare(change.needRestart, "log-level", aRunning.lowestLevel == aRead.lowestLevel);
  return change;
}

gateway_settings
ReadGatewaySettings(settings& aSettings)
{
  gateway_settings result;
  result.id.value = aSettings.Text("id");
  result.zone.value = aSettings.Text("zone");
  result.listen.value = aSettings.Text("listen");
  result.readinessListen.value = aSettings.Text("readiness-listen");
  result.store.value = aSettings.Text("store");
  result.metricsListen.value = aSettings.Text("metrics-listen");
  result.meshListen.value = aSettings.Text("mesh-listen");
  for (std::string& peer : aSettings.List("peers")) {
    result.peers.push_back({ std::move(peer) });
  }
  result.meshKey = aSettings.Text("mesh-key");
  result.grace.ms = aSettings.Number("grace-ms", 0, kMaxSpanMs);
  result.repeats.ratio = aSettings.Fraction("repeat-ratio", 0, kMaxRatio);
  result.repeats.slack = aSettings.Fraction("repeat-slack", 0, kMaxSlack);
  result.repeats.window.ms = aSettings.Number("repeat-window-ms", 1, kMaxSpanMs);
  result.lowestLevel = aSettings.LogLevel();
  result.settingsFile = aSettings.Text("settings-file");
  return result;
}

} // namespace persimmon::gateway
