#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::standins {

/// Limits calls to a number in each second of the clock.
class call_quota
{
public:
  /// Returns whether one more call is allowed; aPerSecond of 0 means no limit.
  bool Allow(std::uint64_t aPerSecond, time_point aNow)
  {
    constexpr std::int64_t kMsPerSecond = 1000;
    const std::int64_t second = aNow.ms / kMsPerSecond;
    if (second != mSecond) {
      mSecond = second;
      mUsed = 0;
    }
    return ++mUsed <= aPerSecond || aPerSecond == 0;
  }

private:
  std::int64_t mSecond = -1;
  std::uint64_t mUsed = 0;
};

} // namespace persimmon::standins
