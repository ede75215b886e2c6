#include "poison/parttrials.h"

namespace persimmon::poison {

bool
part_trials::Admits(std::uint64_t aPart, std::uint64_t aRequest, bool aAlone, time_point aNow)
{
  auto found = mTrials.find(aPart);
  if (found == mTrials.end()) {
    if (mTrials.size() < kMaxTriedParts) {
      mTrials[aPart].nextAt = aNow + kFirstTrialDelay;
    }
    return false;
  }
  trial& current = found->second;
  if (current.running || aNow < current.grantedUntil) {
    return current.request == aRequest;
  }
  const time_point due = aAlone ? current.nextAt : current.nextAt + kAloneTime;
  if (aNow < due) {
    return false;
  }
  current.request = aRequest;
  current.grantedUntil = aNow + kTrialGrant;
  return true;
}

void
part_trials::OnDispatch(std::uint64_t aPart, std::uint64_t aRequest, time_point aNow)
{
  const auto found = mTrials.find(aPart);
  if (found == mTrials.end() || found->second.request != aRequest || found->second.running) {
    return;
  }
  trial& current = found->second;
  current.running = true;
  current.pause = current.pause * kTrialDelayGrowth;
  current.nextAt = aNow + current.pause;
}

void
part_trials::OnEnd(std::uint64_t aPart, std::uint64_t aRequest)
{
  const auto found = mTrials.find(aPart);
  if (found != mTrials.end() && found->second.request == aRequest) {
    found->second.running = false;
    found->second.grantedUntil = { INT64_MIN / 2 };
  }
}

void
part_trials::Prune(time_point aNow)
{
  std::erase_if(mTrials,
                [aNow](const auto& aTried) { return aTried.second.nextAt + kTrialMemory <= aNow; });
}

} // namespace persimmon::poison
