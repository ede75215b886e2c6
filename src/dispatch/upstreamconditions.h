#pragma once

#include "dispatch/conditionchanges.h"
#include "dispatch/statementobservation.h"
#include "dispatch/upstreampauses.h"
#include "dispatch/upstreamratelimits.h"
#include "dispatch/upstreamstatstable.h"
#include "fleet/fleetview.h"

#include <optional>

namespace persimmon::dispatch {

/// Keeps what upstreams state of themselves: their load, limits, pauses, and that they are leaving.
/// Each statement holds for one incarnation. Does no I/O and reads no clock; not thread-safe.
class upstream_conditions
{
public:
  /// aFleet holds which instances are leaving, aStats the loads.
  upstream_conditions(router_id aSelf, fleet::fleet_view& aFleet, upstream_stats_table& aStats);

  /// Records the statements of a response.
  condition_changes Record(const statement_observation& aObservation, time_point aNow);
  /// Applies a statement that another router has received. Returns whether the upstream counts as
  /// leaving only from now on.
  bool Apply(const peers::leaving_message& aMessage);
  /// Applies a statement that another router has received. Returns whether the limit changed.
  bool Apply(const peers::rate_limit_message& aMessage, time_point aNow);
  /// Updates the shares in limits and forgets what has ended; call about once a second.
  void Update(time_point aNow);

  /// Returns whether the limit of an upstream, if it states one, allows a call now.
  [[nodiscard]] bool HasPermit(const fleet::instance& aUpstream, time_point aNow) const;
  /// Returns the time until this router may send a call to an upstream; empty when it has no share
  /// in the upstream's limit.
  [[nodiscard]] std::optional<duration> TimeToNextPermit(const fleet::instance& aUpstream,
                                                         time_point aNow) const;
  /// Returns the time until an upstream that has asked for a pause accepts calls again; empty when
  /// it has not.
  [[nodiscard]] std::optional<duration> RemainingPause(const fleet::instance& aUpstream,
                                                       time_point aNow) const;

  /// Returns whether an upstream has asked for a pause lately.
  [[nodiscard]] bool HasPauses() const { return mPauses.Count() > 0; }

  upstream_rate_limits& Limits() { return mLimits; }
  [[nodiscard]] const upstream_rate_limits& Limits() const { return mLimits; }

private:
  /// Returns the time for which this router keeps to a pause. Pauses of different routers end at
  /// different times.
  [[nodiscard]] duration SpreadPause(const instance_id& aUpstream, duration aPause) const;
  /// Records a limit, or that there is none, in aChanges.
  void RecordLimit(const statement_observation& aObservation,
                   time_point aNow,
                   condition_changes& aChanges);

  router_id mSelf;
  fleet::fleet_view& mFleet;
  upstream_stats_table& mStats;
  upstream_rate_limits mLimits;
  upstream_pauses mPauses;
};

} // namespace persimmon::dispatch
