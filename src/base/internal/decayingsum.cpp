#include "base/decayingsum.h"

#include <algorithm>
#include <cmath>

namespace persimmon {

void
decaying_sum::Add(double aAmount, time_point aNow)
{
  mValue = Value(aNow) + aAmount;
  mUpdatedAt = aNow;
}

double
decaying_sum::Value(time_point aNow) const
{
  const auto elapsedMs = static_cast<double>(std::max<std::int64_t>((aNow - mUpdatedAt).ms, 0));
  return mValue * std::exp2(-elapsedMs / static_cast<double>(mHalfLife.ms));
}

} // namespace persimmon
