#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "dispatch/retrybudget.h"
#include "dispatch/upstreamselector.h"
#include "gateway/demandmeter.h"
#include "metrics/metrics.h"
#include "upstream/upstreamloop.h"

#include <functional>
#include <unordered_map>

namespace persimmon::gateway {

/// State shared by the components of a gateway. Used only on the event loop's thread.
struct gateway_context
{
  upstream::upstream_loop& loop;
  dispatch::upstream_selector& board;
  metrics_registry& metrics;
  random_source random;
  dispatch::retry_limits repeatLimits;
  std::unordered_map<service_name, dispatch::retry_budget> repeatBudgets{};
  demand_meter demandMeter{};
  /// Number of live gateways, including this one.
  std::size_t gatewayCount = 1;
  /// True while this process stops; responses then close their connections.
  bool stopping = false;
  /// True when too little of the grace period is left to accept new calls.
  bool rejectsNewCalls = false;
  /// Called with an upstream whose calls make no progress or fail; the upstream may be a group's
  /// head.
  std::function<void(const instance_id&)> onUpstreamStalled{};

  [[nodiscard]] static time_point Now() { return steady_clock().Now(); }

  /// Sets the repeat limits of all services.
  void SetRepeatLimits(const dispatch::retry_limits& aLimits)
  {
    repeatLimits = aLimits;
    for (auto& [service, budget] : repeatBudgets) {
      budget.SetLimits(aLimits);
    }
  }

  /// Returns the repeat budget of a service, creating it if needed, with the present number of
  /// gateways.
  dispatch::retry_budget& RepeatBudget(const service_name& aService)
  {
    auto& budget = repeatBudgets.try_emplace(aService, repeatLimits).first->second;
    budget.SetRouterCount(gatewayCount);
    return budget;
  }
};

} // namespace persimmon::gateway
