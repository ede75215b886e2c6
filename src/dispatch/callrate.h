#pragma once

#include "base/decayingsum.h"

namespace persimmon::dispatch {

/// How many calls come in a second, from those of the last seconds. Pure.
class call_rate
{
public:
  void Record(time_point aNow) { mCalls.Add(1, aNow); }
  [[nodiscard]] double PerSecond(time_point aNow) const;

private:
  /// A call counts half after this time.
  static constexpr duration kHalfLife = 2_s;

  decaying_sum mCalls{ kHalfLife };
};

} // namespace persimmon::dispatch
