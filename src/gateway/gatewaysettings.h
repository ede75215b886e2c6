#pragma once

#include "assembly/assemblyoptions.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/log.h"
#include "dispatch/retrybudget.h"
#include "settings/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// Settings of a gateway process.
struct gateway_settings
{
  /// Name of this process, unique among all gateways.
  router_id id;
  zone_name zone;
  /// Address that accepts callers' requests.
  endpoint listen;
  /// Address that answers the load balancer's readiness checks.
  endpoint readinessListen;
  /// Address that serves metrics; empty for none.
  endpoint metricsListen;
  /// Address for other gateways of the mesh; empty for no mesh.
  endpoint meshListen;
  /// Address at which this process passes on bytes of gateways that are cut off from upstreams;
  /// empty to pass nothing on.
  endpoint relayListen;
  /// Mesh addresses of other gateways.
  std::vector<endpoint> peers;
  /// Key that all members of the mesh share.
  std::string meshKey;
  /// Address of the platform's object store.
  endpoint store;
  /// Time from the stop signal until the process is killed.
  duration gracePeriod;
  dispatch::retry_limits retryLimits;
  /// Time after which an instance that has announced its departure must receive no new calls.
  duration leaveNotice{ 2000 };
  /// True when the slots of groups are divided among the gateways, and a call that finds none in
  /// time is refused.
  bool sharesSlots = true;
  /// Time within which an availability zone that is to be emptied must get no more calls; 0 where
  /// zones are not emptied.
  duration evacuationNotice;
  /// Longest time until a store that has stopped responding is detected.
  duration storeSilenceTimeout{ 3000 };
  /// Part of a processor that this process may use, such as 0.25; 0 when it is not known.
  double processorQuota = 0;
  /// Memory of this process in bytes; 0 when it is not known, and nothing is divided then.
  std::uint64_t memoryBytes = 0;
  /// Descriptors of this process.
  std::size_t maxDescriptors = 4096;
  assembly::assembly_options assembly;
  log_level lowestLevel = log_level::info;
  /// Settings file that is read again on SIGHUP; empty for none.
  std::string settingsFile;
  /// Returns the address at which this process reaches the store or an upstream, where it differs
  /// from the registered one; empty when none does. No setting: set by tests of links.
  std::function<endpoint(const endpoint&)> addressTranslation;
};

/// Settings that differ between a running process and its reloaded settings.
struct settings_diff
{
  /// Names of the changed settings that take effect on reload.
  std::vector<std::string> applied;
  /// Names of the changed settings that take effect only after a restart.
  std::vector<std::string> restartRequired;
};

/// Returns which settings changed, by whether they can be applied without a restart.
settings_diff
CompareSettings(const gateway_settings& aRunning, const gateway_settings& aReloaded);

/// Declares the names, defaults and descriptions of a gateway's settings.
void
DeclareGatewaySettings(settings& aSettings);

/// Reads the declared settings; invalid values are recorded as problems in aSettings.
gateway_settings
ReadGatewaySettings(settings& aSettings);

} // namespace persimmon::gateway
