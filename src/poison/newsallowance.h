#pragma once

#include "base/clock.h"

#include <algorithm>

namespace persimmon::poison {

/// Limits the news of one process: a token bucket. Does no I/O and reads no clock.
class news_allowance
{
public:
  explicit news_allowance(double aMost)
    : mMost(aMost)
    , mLeft(aMost)
  {
  }

  /// Sets how many news a second may be told on average.
  void SetRate(double aPerSecond) { mPerSecond = aPerSecond; }
  /// Takes one unless that leaves less than aReserve. Returns whether it may be told.
  bool Take(double aReserve, time_point aNow)
  {
    constexpr double kMillisecondsPerSecond = 1000;
    const double passed = static_cast<double>((aNow - mUpdatedAt).ms) / kMillisecondsPerSecond;
    mLeft = std::min(mMost, mLeft + std::max(passed, 0.0) * mPerSecond);
    mUpdatedAt = aNow;
    const bool allowed = mLeft >= 1 + aReserve;
    mLeft -= allowed ? 1 : 0;
    return allowed;
  }

private:
  double mMost;
  double mLeft;
  double mPerSecond = 0;
  time_point mUpdatedAt;
};

} // namespace persimmon::poison
