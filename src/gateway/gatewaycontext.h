#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "dispatch/repeatbudget.h"
#include "dispatch/upstreamboard.h"
#include "gateway/demandmeter.h"
#include "metrics/metrics.h"
#include "upstream/upstreamloop.h"

#include <functional>
#include <unordered_map>

namespace persimmon::gateway {

/// What the parts of a gateway share; everything is used on the one loop's thread.
struct gateway_context
{
  upstream::upstream_loop& loop;
  dispatch::upstream_board& board;
  metrics_registry& metrics;
  random_source random;
  dispatch::repeat_limits repeatLimits;
  std::unordered_map<service_name, dispatch::repeat_budget> repeatBudgets{};
  demand_meter demandMeter{};
  /// Number of live gateways, this one included.
  std::size_t gatewayCount = 1;
  /// This process is stopping; answers close their connections.
  bool stopping = false;
  /// Too little of the stop's grace time is left for new calls.
  bool rejectsNewCalls = false;
  /// Called when a group stands still; its head is given.
  std::function<void(const instance_id&)> onUpstreamStalled{};

  [[nodiscard]] static time_point Now() { return steady_clock().Now(); }

  /// Sets the bounds of all services' repeats.
  void SetRepeatLimits(const dispatch::repeat_limits& aLimits)
  {
    repeatLimits = aLimits;
    for (auto& [service, budget] : repeatBudgets) {
      budget.SetLimits(aLimits);
    }
  }

  dispatch::repeat_budget& RepeatBudget(const service_name& aService)
  {
    auto& budget = repeatBudgets.try_emplace(aService, repeatLimits).first->second;
    budget.SetRouters(gatewayCount);
    return budget;
  }
};

} // namespace persimmon::gateway
