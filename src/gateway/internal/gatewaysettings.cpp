#include "gateway/gatewaysettings.h"

#include <algorithm>
#include <array>
#include <sys/resource.h>

namespace persimmon::gateway {
namespace {

constexpr std::int64_t kMaxDurationMs = 3600000;
/// A shorter limit leaves no time for a call to the store.
constexpr std::int64_t kMinStoreTimeoutMs = 500;
constexpr double kMaxProcessors = 1024;
constexpr std::int64_t kMaxMemoryMb = 1 << 20;
constexpr unsigned int kBytesPerMbShift = 20;
constexpr std::int64_t kMaxDescriptors = 1 << 20;
constexpr double kMaxRatio = 10;
constexpr double kMaxSlack = 1e6;

/// A setting's name and whether its value is equal in both sets of settings.
struct compared_setting
{
  const char* name;
  bool unchanged;
};

/// Returns a number that is empty where the platform has no such figure; 0 then.
std::uint64_t
OptionalNumber(settings& aSettings, const char* aName, std::int64_t aHighest)
{
  const bool isKnown = !aSettings.Text(aName).empty();
  return isKnown ? static_cast<std::uint64_t>(aSettings.Number(aName, 0, aHighest)) : 0;
}

/// Returns how many descriptors the system allows this process.
std::size_t
SystemDescriptors()
{
  rlimit limit{};
  const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return isKnown ? std::min<std::size_t>(limit.rlim_cur, kMaxDescriptors) : kMaxDescriptors;
}

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
  aSettings.Add(
    "relay-listen", "", "address for gateways that do not reach upstreams themselves, ip:port");
  aSettings.Add("peers", "", "mesh addresses of other gateways, ip:port, between commas");
  aSettings.Add("mesh-key", "", "key that all members of the mesh share");
  aSettings.Add("grace-ms", "8000", "time from the signal to stop until the process is killed");
  aSettings.Add("repeat-ratio", "0.2", "repeats that a service may get for each call");
  aSettings.Add("repeat-slack", "20", "repeats in a window on top, for all gateways together");
  aSettings.Add("repeat-window-ms", "10000", "window in which repeats are counted");
  aSettings.Add(
    "leave-notice-ms", "2000", "time in which leaving instances must get no more calls");
  aSettings.Add("evacuation-ms",
                "0",
                "time in which an emptied zone must get no more calls; 0 where none is emptied");
  aSettings.Add(
    "share-slots",
    "true",
    "divide the slots of groups among the gateways, refuse calls that find none in time");
  aSettings.Add(
    "move-domains", "false", "give fabric domains to other models as the demand changes");
  aSettings.Add("store-silence-ms", "3000", "time in which a silent store must be noticed");
  aSettings.Add(
    "processor-quota", "0", "part of a processor for this process; 0 when it is not known");
  aSettings.Add("memory-mb", "0", "memory for this process; 0 when it is not known");
  aSettings.Add(
    "max-descriptors", "0", "descriptors for this process; 0 for what the system allows");
  aSettings.AddLogLevel();
  aSettings.AddSettingsFile();
}

settings_diff
CompareSettings(const gateway_settings& aRunning, const gateway_settings& aReloaded)
{
  const std::array appliedAtReload = {
    compared_setting{ "peers", aRunning.peers == aReloaded.peers },
    compared_setting{ "repeat-ratio", aRunning.retryLimits.ratio == aReloaded.retryLimits.ratio },
    compared_setting{ "repeat-slack", aRunning.retryLimits.slack == aReloaded.retryLimits.slack },
    compared_setting{ "leave-notice-ms", aRunning.leaveNotice == aReloaded.leaveNotice },
  };
  const std::array appliedAtStart = {
    compared_setting{ "repeat-window-ms",
                      aRunning.retryLimits.window == aReloaded.retryLimits.window },
    compared_setting{ "id", aRunning.id == aReloaded.id },
    compared_setting{ "zone", aRunning.zone == aReloaded.zone },
    compared_setting{ "listen", aRunning.listen == aReloaded.listen },
    compared_setting{ "readiness-listen", aRunning.readinessListen == aReloaded.readinessListen },
    compared_setting{ "metrics-listen", aRunning.metricsListen == aReloaded.metricsListen },
    compared_setting{ "mesh-listen", aRunning.meshListen == aReloaded.meshListen },
    compared_setting{ "relay-listen", aRunning.relayListen == aReloaded.relayListen },
    compared_setting{ "mesh-key", aRunning.meshKey == aReloaded.meshKey },
    compared_setting{ "store", aRunning.store == aReloaded.store },
    compared_setting{ "grace-ms", aRunning.gracePeriod == aReloaded.gracePeriod },
    compared_setting{ "store-silence-ms",
                      aRunning.storeSilenceTimeout == aReloaded.storeSilenceTimeout },
    compared_setting{ "processor-quota", aRunning.processorQuota == aReloaded.processorQuota },
    compared_setting{ "evacuation-ms", aRunning.evacuationNotice == aReloaded.evacuationNotice },
    compared_setting{ "share-slots", aRunning.sharesSlots == aReloaded.sharesSlots },
    compared_setting{ "move-domains",
                      aRunning.assembly.movesDomains == aReloaded.assembly.movesDomains },
    compared_setting{ "memory-mb", aRunning.memoryBytes == aReloaded.memoryBytes },
    compared_setting{ "max-descriptors", aRunning.maxDescriptors == aReloaded.maxDescriptors },
    compared_setting{ "log-level", aRunning.lowestLevel == aReloaded.lowestLevel },
  };
  settings_diff diff;
  for (const compared_setting& setting : appliedAtReload) {
    if (!setting.unchanged) {
      diff.applied.emplace_back(setting.name);
    }
  }
  for (const compared_setting& setting : appliedAtStart) {
    if (!setting.unchanged) {
      diff.restartRequired.emplace_back(setting.name);
    }
  }
  return diff;
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
  result.relayListen.value = aSettings.Text("relay-listen");
  for (std::string& peer : aSettings.List("peers")) {
    result.peers.push_back({ std::move(peer) });
  }
  result.meshKey = aSettings.Text("mesh-key");
  result.gracePeriod.ms = aSettings.Number("grace-ms", 0, kMaxDurationMs);
  result.retryLimits.ratio = aSettings.Double("repeat-ratio", 0, kMaxRatio);
  result.retryLimits.slack = aSettings.Double("repeat-slack", 0, kMaxSlack);
  result.retryLimits.window.ms = aSettings.Number("repeat-window-ms", 1, kMaxDurationMs);
  result.leaveNotice.ms = aSettings.Number("leave-notice-ms", kMinStoreTimeoutMs, kMaxDurationMs);
  result.storeSilenceTimeout.ms =
    aSettings.Number("store-silence-ms", kMinStoreTimeoutMs, kMaxDurationMs);
  // Empty where the platform has no such figure.
  const bool hasQuota = !aSettings.Text("processor-quota").empty();
  result.processorQuota = hasQuota ? aSettings.Double("processor-quota", 0, kMaxProcessors) : 0;
  result.assembly.maxProbesInAllPerSecond =
    assembly::MaxProbesInAllPerSecond(result.processorQuota);
  result.evacuationNotice.ms =
    static_cast<std::int64_t>(OptionalNumber(aSettings, "evacuation-ms", kMaxDurationMs));
  result.sharesSlots = aSettings.Flag("share-slots");
  result.assembly.movesDomains = aSettings.Flag("move-domains");
  result.memoryBytes = OptionalNumber(aSettings, "memory-mb", kMaxMemoryMb) << kBytesPerMbShift;
  result.maxDescriptors = OptionalNumber(aSettings, "max-descriptors", kMaxDescriptors);
  if (result.maxDescriptors == 0) {
    result.maxDescriptors = SystemDescriptors();
  }
  result.lowestLevel = aSettings.LogLevel();
  result.settingsFile = aSettings.Text("settings-file");
  return result;
}

} // namespace persimmon::gateway
