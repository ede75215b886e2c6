#include "routing/prefixpopularity.h"

#include <algorithm>
#include <cmath>

namespace persimmon::routing {
namespace {

/// Requests after which all counts are halved.
constexpr std::size_t kFadeEvery = 1024;
/// Requests that must have come before any prefix counts as popular.
constexpr double kMinTotal = 64;
constexpr double kForgetBelow = 0.5;
/// Standard deviations that a count is lowered by, so that chance does not look like popularity.
constexpr double kDoubt = 1.0;

} // namespace

double
prefix_popularity::Note(std::uint64_t aPrefix)
{
  if (++mSinceFade >= kFadeEvery) {
    Fade();
  }
  mTotal += 1;
  auto found = mCounts.find(aPrefix);
  if (found == mCounts.end()) {
    if (mCounts.size() >= kMaxPrefixesCounted) {
      return 0;
    }
    found = mCounts.emplace(aPrefix, 0).first;
  }
  found->second += 1;
  if (mTotal < kMinTotal) {
    return 0;
  }
  const double certain = found->second - kDoubt * std::sqrt(found->second);
  return std::max(0.0, certain) / mTotal;
}

void
prefix_popularity::Fade()
{
  mSinceFade = 0;
  mTotal /= 2;
  for (auto current = mCounts.begin(); current != mCounts.end();) {
    current->second /= 2;
    current = current->second < kForgetBelow ? mCounts.erase(current) : std::next(current);
  }
}

} // namespace persimmon::routing
