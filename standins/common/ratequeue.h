#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace persimmon::standins {

/// A resource of limited rate that is used by one after the other, such as a weight store's link.
class rate_queue
{
public:
  /// aPerSecond of 0 means no limit.
  explicit rate_queue(std::uint64_t aPerSecond)
    : mPerSecond(aPerSecond)
  {
  }

  void SetRate(std::uint64_t aPerSecond) { mPerSecond = aPerSecond; }

  /// Returns when the units will have passed, behind all that were taken before.
  time_point Take(std::uint64_t aUnits, time_point aNow)
  {
    if (mPerSecond == 0) {
      return aNow;
    }
    constexpr std::uint64_t kMsPerSecond = 1000;
    const auto span = static_cast<std::int64_t>(aUnits * kMsPerSecond / mPerSecond);
    mFreeAt = std::max(mFreeAt, aNow) + duration{ span };
    return mFreeAt;
  }

private:
  std::uint64_t mPerSecond;
  time_point mFreeAt;
};

} // namespace persimmon::standins
