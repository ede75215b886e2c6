#pragma once

#include "dispatch/upstreamstatstable.h"
#include "fleet/instance.h"

#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// Selects among the upstreams of a service without an engine, by a cost without a unit.
class plain_cost
{
public:
  /// Selects for a router in aZone.
  plain_cost(const upstream_stats_table& aStats, const zone_name& aZone)
    : mStats(aStats)
    , mZone(aZone)
  {
  }

  /// Returns a random upstream among those whose costs are about the lowest; empty when there are
  /// none.
  [[nodiscard]] std::optional<instance_id> PickCheapest(
    const std::vector<const fleet::instance*>& aUpstreams,
    std::uint64_t aRandom,
    time_point aNow) const;

private:
  /// Returns the shortest of the mean response times, in milliseconds.
  [[nodiscard]] double ShortestResponseMs(
    const std::vector<const fleet::instance*>& aUpstreams) const;
  /// Returns the cost of an upstream, from its load, response time, failures and zone.
  /// aUnmeasuredResponseMs is assumed for one without a sample.
  [[nodiscard]] double CostOf(const fleet::instance& aUpstream,
                              double aUnmeasuredResponseMs,
                              time_point aNow) const;

  const upstream_stats_table& mStats;
  const zone_name& mZone;
};

} // namespace persimmon::dispatch
