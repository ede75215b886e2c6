#include "dispatch/loadspread.h"

#include "base/random.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Keeps the parts finite when no calls are expected.
constexpr double kLeastPoured = 1e-9;

/// Returns the cost to which aPoured is enough to raise the cheapest.
double
LevelOf(std::vector<double> aCosts, double aPoured)
{
  std::sort(aCosts.begin(), aCosts.end());
  double sum = 0;
  for (std::size_t used = 1; used <= aCosts.size(); ++used) {
    sum += aCosts[used - 1];
    const double level = (sum + aPoured) / static_cast<double>(used);
    if (used == aCosts.size() || level <= aCosts[used]) {
      return level;
    }
  }
  return aCosts.back();
}

} // namespace

std::size_t
DrawSpread(const std::vector<double>& aCosts, double aPoured, std::uint64_t aDraw)
{
  const double poured = std::max(aPoured, kLeastPoured);
  const double level = LevelOf(aCosts, poured);
  double left = random_source(aDraw).Unit() * poured;
  std::size_t cheapest = 0;
  for (std::size_t i = 0; i < aCosts.size(); ++i) {
    const double part = std::max(level - aCosts[i], 0.0);
    if (part > left) {
      return i;
    }
    left -= part;
    cheapest = aCosts[i] < aCosts[cheapest] ? i : cheapest;
  }
  return cheapest;
}

} // namespace persimmon::dispatch
