#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace persimmon::dispatch {

/// Bounds of the repeats that a service's callers may cause, over all routers together.
struct repeat_limits
{
  /// Repeats for each call in a window.
  double ratio = 0.2;
  /// Repeats in a window on top of that, shared evenly by the routers.
  double slack = 0;
  duration window{ 10000 };
};

/// This router's part of the repeats that a service may get. Pure.
///
/// Counts in a sliding window; the routers share the slack evenly, so that no message is needed.
class repeat_budget
{
public:
  explicit repeat_budget(repeat_limits aLimits);

  /// Sets how many routers share the slack; at least 1.
  void SetRouters(std::size_t aRouters) { mRouters = aRouters; }
  /// Sets other bounds with the same window; what was counted stays.
  void SetLimits(const repeat_limits& aLimits) { mLimits = aLimits; }
  /// Records a call that a caller sent.
  void OnCall(time_point aNow);
  /// Takes a repeat; false when the window has no more.
  bool TryTake(time_point aNow);
  /// Repeats that the window still allows.
  [[nodiscard]] double Left(time_point aNow) const;

private:
  /// Calls and repeats of a tenth of a window.
  struct slice
  {
    std::int64_t index = 0;
    std::uint64_t calls = 0;
    std::uint64_t repeats = 0;
  };

  slice& Current(time_point aNow);
  [[nodiscard]] std::int64_t IndexOf(time_point aNow) const;

  repeat_limits mLimits;
  std::size_t mRouters = 1;
  std::deque<slice> mSlices;
};

} // namespace persimmon::dispatch
