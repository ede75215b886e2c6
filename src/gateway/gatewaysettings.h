#pragma once

#include "assembly/assemblyoptions.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/log.h"
#include "dispatch/repeatbudget.h"
#include "settings/settings.h"

#include <string>
#include <vector>

namespace persimmon::gateway {

/// What a gateway process is told at its start.
struct gateway_settings
{
  router_id id;
  zone_name zone;
  /// Address for callers.
  endpoint listen;
  /// Address for the balancer's question whether to send callers.
  endpoint readinessListen;
  /// Address for metrics; empty for none.
  endpoint metricsListen;
  endpoint meshListen;
  std::vector<endpoint> peers;
  std::string meshKey;
  endpoint store;
  /// Time from the signal to stop until the process is killed.
  duration gracePeriod;
  dispatch::repeat_limits repeatLimits;
  /// Time after which an instance that has said to leave must get no calls.
  duration leaveNotice{ 2000 };
  /// Time after which a connection to the store that fell silent must have been noticed.
  duration storeSilenceTimeout{ 3000 };
  assembly::assembly_options assembly;
  log_level lowestLevel = log_level::info;
  /// File that is read again at SIGHUP; empty for none.
  std::string settingsFile;
};

/// What a change of settings means for a running process.
struct settings_diff
{
  /// Names of settings that can be taken at once.
  std::vector<std::string> applied;
  /// Names of settings that hold from the next start.
  std::vector<std::string> restartRequired;
};

/// Compares the settings that a process runs with and those that it has read again.
settings_diff
CompareSettings(const gateway_settings& aRunning, const gateway_settings& aReloaded);

/// Declares the settings of a gateway.
void
DeclareGatewaySettings(settings& aSettings);

/// Reads them; problems are recorded in aSettings.
gateway_settings
ReadGatewaySettings(settings& aSettings);

} // namespace persimmon::gateway
