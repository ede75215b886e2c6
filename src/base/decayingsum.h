#pragma once

#include "base/clock.h"

namespace persimmon {

/// A sum with exponential decay: the contribution of each amount halves with every half-life that
/// has passed since it was added. The caller supplies the current time.
class decaying_sum
{
public:
  explicit decaying_sum(duration aHalfLife)
    : mHalfLife(aHalfLife)
  {
  }

  void Add(double aAmount, time_point aNow);
  /// Returns the sum, decayed up to aNow.
  [[nodiscard]] double Value(time_point aNow) const;

private:
  duration mHalfLife;
  /// The sum as of mUpdatedAt.
  double mValue = 0;
  time_point mUpdatedAt;
};

} // namespace persimmon
