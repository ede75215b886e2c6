#include "dispatch/callrate.h"

#include <numbers>

namespace persimmon::dispatch {

double
call_rate::PerSecond(time_point aNow) const
{
  const double halfLife = static_cast<double>(kHalfLife.ms) / 1000;
  return mCalls.Value(aNow) * std::numbers::ln2 / halfLife;
}

} // namespace persimmon::dispatch
