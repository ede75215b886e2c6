#include "dispatch/repeatbudget.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

constexpr std::int64_t kSlicesPerWindow = 10;
/// Part of the bound that is used; the rest covers calls that are counted elsewhere in time.
constexpr double kUsedPart = 0.8;

} // namespace

repeat_budget::repeat_budget(repeat_limits aLimits)
  : mLimits(aLimits)
{
}

std::int64_t
repeat_budget::IndexOf(time_point aNow) const
{
  return aNow.ms * kSlicesPerWindow / std::max<std::int64_t>(mLimits.window.ms, 1);
}

repeat_budget::slice&
repeat_budget::Current(time_point aNow)
{
  const std::int64_t index = IndexOf(aNow);
  while (!mSlices.empty() && mSlices.front().index <= index - kSlicesPerWindow) {
    mSlices.pop_front();
  }
  if (mSlices.empty() || mSlices.back().index < index) {
    mSlices.push_back({ index, 0, 0 });
  }
  return mSlices.back();
}

double
repeat_budget::Left(time_point aNow) const
{
  const std::int64_t oldest = IndexOf(aNow) - kSlicesPerWindow;
  double calls = 0;
  double repeats = 0;
  for (const slice& one : mSlices) {
    if (one.index > oldest) {
      calls += static_cast<double>(one.calls);
      repeats += static_cast<double>(one.repeats);
    }
  }
  const double slack = mLimits.slack / static_cast<double>(std::max<std::size_t>(mRouters, 1));
  return kUsedPart * (mLimits.ratio * calls + slack) - repeats;
}

void
repeat_budget::OnCall(time_point aNow)
{
  ++Current(aNow).calls;
}

bool
repeat_budget::TryTake(time_point aNow)
{
  if (Left(aNow) < 1) {
    return false;
  }
  ++Current(aNow).repeats;
  return true;
}

} // namespace persimmon::dispatch
