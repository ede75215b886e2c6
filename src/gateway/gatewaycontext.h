#pragma once

#include "admission/returningcallers.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "dispatch/callattributes.h"
#include "dispatch/retrybudget.h"
#include "dispatch/upstreamselector.h"
#include "gateway/crashmonitor.h"
#include "gateway/demandmeter.h"
#include "gateway/durationestimate.h"
#include "gateway/loopwatch.h"
#include "gateway/statementmonitor.h"
#include "gateway/unknownheaderlog.h"
#include "gateway/upstreamcaller.h"
#include "metrics/metrics.h"
#include "upstream/bodybudget.h"
#include "upstream/upstreamloop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace persimmon::gateway {

/// Interval of the tick that checks the calls in flight and the groups.
constexpr duration kFastTickInterval = 50_ms;

/// State shared by the components of a gateway. Used only on the event loop's thread.
struct gateway_context
{
  upstream::upstream_loop& loop;
  upstream_caller& calls;
  dispatch::upstream_selector& upstreams;
  metrics_registry& metrics;
  crash_monitor& crashes;
  statement_monitor& statements;
  random_source random;
  dispatch::retry_limits retryLimits;
  std::unordered_map<service_name, dispatch::retry_budget> retryBudgets{};
  demand_meter demandMeter{};
  admission::returning_callers returningCallers{};
  unknown_header_log unknownHeaders{ metrics };
  std::shared_ptr<upstream::body_budget> bodies = std::make_shared<upstream::body_budget>();
  loop_watch watch{ kFastTickInterval };
  /// Start of this process.
  time_point startedAt = Now();
  /// Number of gateways among which limits are divided: this one, and all that were live a short
  /// time ago; empty until this one has met the others.
  std::optional<std::size_t> gatewayCount{};
  /// True after the start until this process knows what its peers know. The store may show it an
  /// older copy, with keys that were taken away and instances that have left.
  bool starting = true;
  /// True while this process stops; responses then close their connections.
  bool stopping = false;
  /// True when too little of the grace period is left to accept new calls.
  bool rejectsNewCalls = false;
  /// True when the slots of groups are divided among the gateways.
  bool sharesSlots = true;
  /// While this process stops: time until which it answers calls.
  std::optional<time_point> answersUntil{};
  /// Durations of whole calls at upstreams, by service and model.
  std::map<std::pair<service_name, routes::model_name>, duration_estimate> callDurations{};
  /// Called with an upstream whose calls make no progress or fail; the upstream may be a group's
  /// head.
  std::function<void(const instance_id&)> onUpstreamStalled{};
  /// Called when a call at an upstream has ended, so that another one may use its slot.
  std::function<void()> onSlotFreed = [] {};
  /// Instances whose latest request for a report brought none: the next one is sent over a new
  /// connection, since a kept one may be silent while new ones work.
  std::set<instance_id> withoutReport{};

  /// Does work whose time counts for a kind.
  template<typename Function>
  void Measured(loop_work aWork, const Function& aFunction)
  {
    const time_point startedAt = Now();
    aFunction();
    watch.OnWork(aWork, Now() - startedAt);
  }

  /// Records how long an upstream took for a whole call.
  void RecordDuration(const dispatch::call_attributes& aCall, duration aDuration)
  {
    callDurations[{ aCall.service, aCall.model }].Record(aDuration);
  }

  /// Returns whether a call that is sent to an upstream now can be answered before this process
  /// exits, as far as the duration of former calls tells.
  [[nodiscard]] bool MayEndBeforeExit(const dispatch::call_attributes& aCall, time_point aNow) const
  {
    if (!answersUntil || aCall.deadline <= *answersUntil) {
      return true;
    }
    const auto found = callDurations.find({ aCall.service, aCall.model });
    const duration known = found == callDurations.end() ? duration{} : found->second.Expected();
    return aNow + std::max(known, aCall.latencyTarget) <= *answersUntil;
  }

  [[nodiscard]] static time_point Now() { return steady_clock().Now(); }

  /// Sets the retry limits of all services.
  void SetRetryLimits(const dispatch::retry_limits& aLimits)
  {
    retryLimits = aLimits;
    for (auto& [service, budget] : retryBudgets) {
      budget.SetLimits(aLimits);
    }
  }

  /// Returns the retry budget of a service, creating it if needed, with the present number of
  /// gateways.
  dispatch::retry_budget& RetryBudget(const service_name& aService)
  {
    auto& budget = retryBudgets.try_emplace(aService, retryLimits, startedAt).first->second;
    budget.SetRouterCount(gatewayCount);
    return budget;
  }
};

} // namespace persimmon::gateway
