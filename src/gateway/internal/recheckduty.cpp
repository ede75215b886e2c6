#include "gateway/recheckduty.h"

#include "peers/rendezvous.h"

#include <algorithm>

namespace persimmon::gateway {

void
recheck_duty::SetGateways(router_id aSelf, std::vector<router_id> aLive)
{
  mSelf = std::move(aSelf);
  mLive = std::move(aLive);
}

void
recheck_duty::SetMarked(const std::set<group_epoch>& aMarked, time_point aNow)
{
  std::erase_if(mMarkedSince, [&](const auto& aEntry) { return aMarked.count(aEntry.first) == 0; });
  for (const group_epoch& group : aMarked) {
    mMarkedSince.try_emplace(group, aNow);
  }
}

bool
recheck_duty::MustAsk(const group_epoch& aGroup, bool aHasCalls, time_point aNow) const
{
  if (aHasCalls || mLive.size() <= kRecheckers) {
    return true;
  }
  const auto marked = mMarkedSince.find(aGroup);
  if (marked != mMarkedSince.end() && aNow - marked->second >= kMaxMarkAge) {
    return true;
  }
  const std::vector<router_id> chosen =
    peers::SelectByWeight("recheck/" + aGroup.first.value, mLive, kRecheckers);
  return std::find(chosen.begin(), chosen.end(), mSelf) != chosen.end();
}

} // namespace persimmon::gateway
