#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/log.h"
#include "settings/settings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace persimmon::router {

/// What a router process is told at its start.
struct router_settings
{
  router_id id;
  zone_name zone;
  endpoint listen;
  endpoint meshListen;
  std::vector<endpoint> peers;
  std::string meshKey;
  std::string storeUrl;
  std::string historyPath;
  /// Address for the faults of tests; empty for none.
  endpoint testControl;
  log_level lowestLevel = log_level::info;
  /// Threads that talk to callers.
  std::size_t entryThreads = 2;
  /// Threads that talk to upstreams.
  std::size_t upstreamThreads = 2;
  std::size_t maxBodyBytes = 0;
  /// Time between not being ready and refusing new requests, for the balancer to notice.
  duration noticeTime;
  /// Longest time that requests in flight get to finish at a stop.
  duration drainTime;
};

/// Declares the settings of a router.
void
DeclareRouterSettings(settings& aSettings);

/// Reads them; problems are recorded in aSettings.
router_settings
ReadRouterSettings(settings& aSettings);

} // namespace persimmon::router
