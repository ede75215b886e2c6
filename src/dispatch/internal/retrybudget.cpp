#include "dispatch/retrybudget.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

constexpr std::int64_t kBucketsPerWindow = 10;
/// Part of the bound that is used; the rest covers calls that are counted elsewhere in time.
constexpr double kSafetyFactor = 0.8;

} // namespace

retry_budget::retry_budget(retry_limits aLimits)
  : mLimits(aLimits)
{
}

std::int64_t
retry_budget::BucketIndex(time_point aNow) const
{
  return aNow.ms * kBucketsPerWindow / std::max<std::int64_t>(mLimits.window.ms, 1);
}

retry_budget::bucket&
retry_budget::CurrentBucket(time_point aNow)
{
  const std::int64_t index = BucketIndex(aNow);
  while (!mBuckets.empty() && mBuckets.front().index <= index - kBucketsPerWindow) {
    mBuckets.pop_front();
  }
  if (mBuckets.empty() || mBuckets.back().index < index) {
    mBuckets.push_back({ index, 0, 0 });
  }
  return mBuckets.back();
}

double
retry_budget::Remaining(time_point aNow) const
{
  const std::int64_t oldest = BucketIndex(aNow) - kBucketsPerWindow;
  double calls = 0;
  double retries = 0;
  for (const bucket& one : mBuckets) {
    if (one.index > oldest) {
      calls += static_cast<double>(one.calls);
      retries += static_cast<double>(one.retries);
    }
  }
  const double slack = mLimits.slack / static_cast<double>(std::max<std::size_t>(mRouterCount, 1));
  return kSafetyFactor * (mLimits.ratio * calls + slack) - retries;
}

void
retry_budget::RecordCall(time_point aNow)
{
  ++CurrentBucket(aNow).calls;
}

bool
retry_budget::TryAcquire(time_point aNow)
{
  if (Remaining(aNow) < 1) {
    return false;
  }
  ++CurrentBucket(aNow).retries;
  return true;
}

} // namespace persimmon::dispatch
