#include "gateway/loopwatch.h"

#include <algorithm>

namespace persimmon::gateway {

const char*
LoopWorkName(loop_work aWork)
{
  static constexpr std::array<const char*, kLoopWorkKinds> kNames = {
    "calls", "configuration", "instances", "mesh", "assembly", "progress", "housekeeping"
  };
  return kNames.at(static_cast<std::size_t>(aWork));
}

void
loop_watch::OnWork(loop_work aWork, duration aTime)
{
  duration& spent = mWork.at(static_cast<std::size_t>(aWork));
  spent = spent + aTime;
}

duration
loop_watch::OnTick(time_point aNow)
{
  const duration sinceLast = mLastTickAt ? aNow - *mLastTickAt : mInterval;
  mLastTickAt = aNow;
  mDelay = std::max(sinceLast - mInterval, duration{});
  if (mDelay >= kMisleadingDelay) {
    mLateUntil = aNow;
  }
  return mDelay;
}

std::optional<late_tick>
loop_watch::TakeLateTick()
{
  std::optional<late_tick> told;
  if (mDelay >= kToldDelay) {
    told = late_tick{ mDelay, WorkText() };
  }
  mWork = {};
  return told;
}

bool
loop_watch::WasLateSince(time_point aStart, time_point aNow) const
{
  const bool isLate = mLastTickAt && aNow - *mLastTickAt - mInterval >= kMisleadingDelay;
  return isLate || (mLateUntil && *mLateUntil >= aStart);
}

std::string
loop_watch::WorkText() const
{
  std::string text;
  for (std::size_t i = 0; i < mWork.size(); ++i) {
    if (mWork[i] > duration{}) {
      text += text.empty() ? "" : ",";
      text += LoopWorkName(static_cast<loop_work>(i));
      text += ":" + std::to_string(mWork[i].ms);
    }
  }
  return text.empty() ? "none" : text;
}

} // namespace persimmon::gateway
