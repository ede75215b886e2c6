#include "routing/prefixpopularity.h"

#include <algorithm>
#include <cmath>

namespace persimmon::routing {
namespace {

/// Number of requests after which all counts are halved.
constexpr std::size_t kRequestsPerDecay = 1024;
/// Total count below which no prefix is estimated.
constexpr double kMinTotal = 64;
/// Prefixes with a lower count after a decay are dropped.
constexpr double kMinRetainedCount = 0.5;
/// Standard deviations subtracted from a count, so that a random excess does not count as
/// popularity.
constexpr double kMarginDeviations = 1.0;

} // namespace

double
prefix_popularity::RecordRequest(std::uint64_t aPrefix)
{
  if (++mRequestsSinceDecay >= kRequestsPerDecay) {
    Decay();
  }
  mTotal += 1;
  auto found = mCounts.find(aPrefix);
  if (found == mCounts.end()) {
    if (mCounts.size() >= kMaxCountedPrefixes) {
      return 0;
    }
    found = mCounts.emplace(aPrefix, 0).first;
  }
  found->second += 1;
  if (mTotal < kMinTotal) {
    return 0;
  }
  const double lowerBound = found->second - kMarginDeviations * std::sqrt(found->second);
  return std::max(0.0, lowerBound) / mTotal;
}

void
prefix_popularity::Decay()
{
  mRequestsSinceDecay = 0;
  mTotal /= 2;
  for (auto current = mCounts.begin(); current != mCounts.end();) {
    current->second /= 2;
    current = current->second < kMinRetainedCount ? mCounts.erase(current) : std::next(current);
  }
}

} // namespace persimmon::routing
