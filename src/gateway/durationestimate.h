#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace persimmon::gateway {

/// Smoothed duration of the calls of one kind and its mean deviation, as TCP estimates round trips
/// (RFC 6298). Does no I/O and reads no clock.
class duration_estimate
{
public:
  void Record(duration aDuration)
  {
    if (!mHasSample) {
      mHasSample = true;
      mMean = aDuration;
      mDeviation = aDuration / 2;
      return;
    }
    const duration error = aDuration - mMean;
    const duration distance = std::max(error, duration{} - error);
    mDeviation = mDeviation + (distance - mDeviation) / kDeviationDivisor;
    mMean = mMean + error / kMeanDivisor;
  }

  /// Returns a duration that few calls exceed; zero before the first call.
  [[nodiscard]] duration Expected() const { return mMean + mDeviation * kDeviations; }

private:
  static constexpr std::int64_t kMeanDivisor = 8;
  static constexpr std::int64_t kDeviationDivisor = 4;
  static constexpr std::int64_t kDeviations = 4;

  bool mHasSample = false;
  duration mMean;
  duration mDeviation;
};

} // namespace persimmon::gateway
