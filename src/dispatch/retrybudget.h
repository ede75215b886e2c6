#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

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
  /// aStartedAt is the start of this process. In the window after it, the process takes a smaller
  /// part of the slack, since it may have used its part before it restarted.
  retry_budget(retry_limits aLimits, time_point aStartedAt);

  /// Sets the number of routers that share the slack; empty while it is not known, and then this
  /// router takes no part of it.
  void SetRouterCount(std::optional<std::size_t> aRouterCount) { mRouterCount = aRouterCount; }
  /// Replaces the limits; the window must stay the same. Counted calls and retries are kept.
  void SetLimits(const retry_limits& aLimits) { mLimits = aLimits; }
  /// Records a call from a caller; retries are not recorded here.
  void RecordCall(time_point aNow);
  /// Consumes one retry; returns false when the window has none left.
  bool TryAcquire(time_point aNow);
  /// Gives back a retry that was acquired at aAcquiredAt and then not sent.
  void Return(time_point aAcquiredAt);
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
  /// Returns this router's part of the slack.
  [[nodiscard]] double SlackShare(time_point aNow) const;
  [[nodiscard]] std::int64_t BucketIndex(time_point aNow) const;

  retry_limits mLimits;
  time_point mStartedAt;
  std::optional<std::size_t> mRouterCount = 1;
  std::deque<bucket> mBuckets;
};

} // namespace persimmon::dispatch
