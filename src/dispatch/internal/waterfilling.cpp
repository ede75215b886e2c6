#include "dispatch/waterfilling.h"

#include "base/random.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Lower bound that keeps a positive share for the cheapest upstream when no calls are expected.
constexpr double kMinAddedCost = 1e-9;

/// Returns the common cost level that the cheapest upstreams reach when aAddedCost is distributed
/// over them.
double
WaterLevel(std::vector<double> aCosts, double aAddedCost)
{
  std::sort(aCosts.begin(), aCosts.end());
  double sum = 0;
  for (std::size_t used = 1; used <= aCosts.size(); ++used) {
    sum += aCosts[used - 1];
    const double level = (sum + aAddedCost) / static_cast<double>(used);
    if (used == aCosts.size() || level <= aCosts[used]) {
      return level;
    }
  }
  return aCosts.back();
}

} // namespace

std::size_t
SampleWaterFilling(const std::vector<double>& aCosts, double aAddedCost, std::uint64_t aRandom)
{
  const double addedCost = std::max(aAddedCost, kMinAddedCost);
  const double level = WaterLevel(aCosts, addedCost);
  double remaining = random_source(aRandom).NextDouble() * addedCost;
  std::size_t cheapest = 0;
  for (std::size_t i = 0; i < aCosts.size(); ++i) {
    const double share = std::max(level - aCosts[i], 0.0);
    if (share > remaining) {
      return i;
    }
    remaining -= share;
    cheapest = aCosts[i] < aCosts[cheapest] ? i : cheapest;
  }
  return cheapest;
}

} // namespace persimmon::dispatch
