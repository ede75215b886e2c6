#include "dispatch/internal/plaincost.h"

#include "dispatch/internal/failurecost.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Cost added to an upstream in another availability zone, as a fraction of a call.
constexpr double kOtherZoneCost = 0.15;
/// Costs that differ by less count as equal, so that routers with similar views do not all select
/// the same upstream.
constexpr double kTieTolerance = 0.3;
/// Response time at which the cost counts an upstream's load unchanged; also assumed while none of
/// the upstreams was measured.
constexpr double kUsualResponseMs = 50;

} // namespace

double
plain_cost::ShortestResponseMs(const std::vector<const fleet::instance*>& aUpstreams) const
{
  std::optional<double> shortest;
  for (const fleet::instance* upstream : aUpstreams) {
    const std::optional<double> mean = mStats.MeanLatencyMs(upstream->id);
    if (mean && (!shortest || *mean < *shortest)) {
      shortest = mean;
    }
  }
  return shortest.value_or(kUsualResponseMs);
}

double
plain_cost::CostOf(const fleet::instance& aUpstream,
                   double aUnmeasuredResponseMs,
                   time_point aNow) const
{
  const auto slots = static_cast<double>(std::max<std::size_t>(aUpstream.slots, 1));
  double cost = (mStats.EstimatedCalls(aUpstream.id, aNow) + 1) / slots * 2;
  cost *= mStats.MeanLatencyMs(aUpstream.id).value_or(aUnmeasuredResponseMs) / kUsualResponseMs;
  if (mStats.FailsOften(aUpstream.id, aNow)) {
    cost = (cost + 1) * kFailureCostFactor;
  }
  return cost + (aUpstream.zone == mZone ? 0 : kOtherZoneCost);
}

std::optional<instance_id>
plain_cost::PickCheapest(const std::vector<const fleet::instance*>& aUpstreams,
                         std::uint64_t aRandom,
                         time_point aNow) const
{
  if (aUpstreams.empty()) {
    return std::nullopt;
  }
  // An upstream without a sample counts as one of the fastest, so that it gets calls and with them
  // a sample, however few calls there are.
  const double unmeasuredMs = ShortestResponseMs(aUpstreams);
  std::vector<double> costs;
  costs.reserve(aUpstreams.size());
  for (const fleet::instance* upstream : aUpstreams) {
    costs.push_back(CostOf(*upstream, unmeasuredMs, aNow));
  }
  const double highest = *std::min_element(costs.begin(), costs.end()) + kTieTolerance;
  std::vector<const instance_id*> ties;
  for (std::size_t i = 0; i < aUpstreams.size(); ++i) {
    if (costs[i] <= highest) {
      ties.push_back(&aUpstreams[i]->id);
    }
  }
  return *ties[aRandom % ties.size()];
}

} // namespace persimmon::dispatch
