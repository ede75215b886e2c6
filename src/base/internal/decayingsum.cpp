#include "base/decayingsum.h"

#include <algorithm>
#include <cmath>

namespace persimmon {

void
decaying_sum::Add(double aPart, time_point aNow)
{
  mValue = Value(aNow) + aPart;
  mAt = aNow;
}

double
decaying_sum::Value(time_point aNow) const
{
  const auto elapsed = static_cast<double>(std::max<std::int64_t>((aNow - mAt).ms, 0));
  return mValue * std::exp2(-elapsed / static_cast<double>(mHalfLife.ms));
}

} // namespace persimmon
