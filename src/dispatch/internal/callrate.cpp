#include "dispatch/callrate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace persimmon::dispatch {
namespace {

/// A call counts half after this time.
constexpr duration kHalfLife = 2_s;

} // namespace

double
call_rate::Decayed(time_point aNow) const
{
  const auto elapsed = static_cast<double>(std::max<std::int64_t>((aNow - mAt).ms, 0));
  return mSum * std::exp2(-elapsed / static_cast<double>(kHalfLife.ms));
}

void
call_rate::Note(time_point aNow)
{
  mSum = Decayed(aNow) + 1;
  mAt = aNow;
}

double
call_rate::PerSecond(time_point aNow) const
{
  const double halfLife = static_cast<double>(kHalfLife.ms) / 1000;
  return Decayed(aNow) * std::numbers::ln2 / halfLife;
}

} // namespace persimmon::dispatch
