#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace persimmon::dispatch {

/// Bounds of the retries that a service's callers may cause, over all routers together.
struct retry_limits
{
  /// Repeats for each call in a window.
  double ratio = 0.2;
  /// Repeats in a window on top of that, shared evenly by the routers.
  double slack = 0;
  duration window{ 10000 };
};

/// This router's part of the retries that a service may get. Pure.
///
/// Counts in a sliding window; the routers share the slack evenly, so that no message is needed.
class retry_budget
{
public:
  explicit retry_budget(retry_limits aLimits);

  /// Sets how many routers share the slack; at least 1.
  void SetRouterCount(std::size_t aRouterCount) { mRouterCount = aRouterCount; }
  /// Sets other bounds with the same window; what was counted stays.
  void SetLimits(const retry_limits& aLimits) { mLimits = aLimits; }
  /// Records a call that a caller sent.
  void RecordCall(time_point aNow);
  /// Takes a repeat; false when the window has no more.
  bool TryAcquire(time_point aNow);
  /// Repeats that the window still allows.
  [[nodiscard]] double Remaining(time_point aNow) const;

private:
  /// Calls and retries of a tenth of a window.
  struct bucket
  {
    std::int64_t index = 0;
    std::uint64_t calls = 0;
    std::uint64_t retries = 0;
  };

  bucket& CurrentBucket(time_point aNow);
  [[nodiscard]] std::int64_t BucketIndex(time_point aNow) const;

  retry_limits mLimits;
  std::size_t mRouterCount = 1;
  std::deque<bucket> mBuckets;
};

} // namespace persimmon::dispatch
