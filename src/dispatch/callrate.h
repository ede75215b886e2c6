#pragma once

#include "base/decayingsum.h"

namespace persimmon::dispatch {

/// Estimates the rate of calls from an exponentially decaying count. Does no I/O and reads no
/// clock.
class call_rate
{
public:
  /// Counts one call.
  void Record(time_point aNow) { mCalls.Add(1, aNow); }
  /// Returns the estimated number of calls per second.
  [[nodiscard]] double PerSecond(time_point aNow) const;

private:
  /// Time after which the weight of a call has halved.
  static constexpr duration kHalfLife = 2_s;

  decaying_sum mCalls{ kHalfLife };
};

} // namespace persimmon::dispatch
