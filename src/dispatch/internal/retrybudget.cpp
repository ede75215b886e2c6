#include "dispatch/retrybudget.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

constexpr std::int64_t kBucketsPerWindow = 10;
/// Fraction of the limit that is used; the rest allows for calls that are counted at another time
/// than here.
constexpr double kSafetyFactor = 0.8;

} // namespace

retry_budget::retry_budget(retry_limits aLimits, time_point aStartedAt)
  : mLimits(aLimits)
  , mStartedAt(aStartedAt)
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
  const std::int64_t newestExpired = BucketIndex(aNow) - kBucketsPerWindow;
  double calls = 0;
  double retries = 0;
  for (const bucket& counted : mBuckets) {
    if (counted.index > newestExpired) {
      calls += static_cast<double>(counted.calls);
      retries += static_cast<double>(counted.retries);
    }
  }
  return kSafetyFactor * mLimits.ratio * calls + SlackShare(aNow) - retries;
}

double
retry_budget::SlackShare(time_point aNow) const
{
  if (!mRouterCount) {
    return 0;
  }
  const bool isFirstWindow = aNow - mStartedAt < mLimits.window;
  const double usedFraction = isFirstWindow ? 1 - kSafetyFactor : kSafetyFactor;
  return usedFraction * mLimits.slack /
         static_cast<double>(std::max<std::size_t>(*mRouterCount, 1));
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

void
retry_budget::Return(time_point aAcquiredAt)
{
  const std::int64_t index = BucketIndex(aAcquiredAt);
  for (bucket& counted : mBuckets) {
    if (counted.index == index && counted.retries > 0) {
      --counted.retries;
    }
  }
}

} // namespace persimmon::dispatch
