#pragma once

#include "base/clock.h"

namespace persimmon {

/// A sum in which each part counts half after a time, half of that after twice that time, and so
/// on. Pure.
class decaying_sum
{
public:
  explicit decaying_sum(duration aHalfLife)
    : mHalfLife(aHalfLife)
  {
  }

  void Add(double aPart, time_point aNow);
  [[nodiscard]] double Value(time_point aNow) const;

private:
  duration mHalfLife;
  double mValue = 0;
  time_point mAt;
};

} // namespace persimmon
