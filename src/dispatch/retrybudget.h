#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace persimmon::dispatch {

/// Limits on the retries of a service's calls, for all routers together.
struct retry_limits
{
  /// Retries per call within a window.
  double ratio = 0.2;
  /// Additional retries within a window, independent of the number of calls; divided evenly among
  /// the routers.
  double slack = 0;
  duration window{ 10000 };
};

/// This router's share of a service's retries, counted in a sliding window. The slack is divided
/// evenly among the routers, so that they need not exchange messages. Does no I/O and reads no
/// clock.
class retry_budget
{
public:
  explicit retry_budget(retry_limits aLimits);

  /// Sets the number of routers that share the slack; 0 counts as 1.
  void SetRouterCount(std::size_t aRouterCount) { mRouterCount = aRouterCount; }
  /// Replaces the limits; the window must stay the same. Counted calls and retries are kept.
  void SetLimits(const retry_limits& aLimits) { mLimits = aLimits; }
  /// Records a call from a caller; retries are not recorded here.
  void RecordCall(time_point aNow);
  /// Consumes one retry; returns false when the window has none left.
  bool TryAcquire(time_point aNow);
  /// Returns the retries that the window still allows; negative when it is exceeded.
  [[nodiscard]] double Remaining(time_point aNow) const;

private:
  /// Counts of one tenth of a window.
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
