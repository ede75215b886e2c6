#include "dispatch/liverouters.h"

#include "base/hash.h"

namespace persimmon::dispatch {

live_routers::live_routers(router_id aSelf)
  : mSelf(std::move(aSelf))
{
  mRouters[mSelf] = {};
}

bool
live_routers::SetLive(const std::vector<router_id>& aLive, time_point aNow)
{
  mStartedAt = mStartedAt.value_or(aNow);
  bool changed = false;
  for (const router_id& router : aLive) {
    changed = mRouters.insert_or_assign(router, aNow).second || changed;
  }
  mRouters[mSelf] = aNow;
  const std::size_t dropped = std::erase_if(mRouters, [aNow](const auto& aRouter) {
    return aNow - aRouter.second > kAbsentRouterLifetime;
  });
  return changed || dropped > 0;
}

bool
live_routers::HasSettled(time_point aNow) const
{
  return mIsAlone || (mStartedAt && aNow - *mStartedAt >= kRouterSettleTime);
}

std::size_t
live_routers::RankFor(std::string_view aKey) const
{
  const std::uint64_t own = RendezvousWeight(aKey, mSelf.value);
  std::size_t rank = 0;
  for (const auto& [router, lastLiveAt] : mRouters) {
    const std::uint64_t weight = RendezvousWeight(aKey, router.value);
    rank += weight > own || (weight == own && router < mSelf) ? 1 : 0;
  }
  return rank;
}

} // namespace persimmon::dispatch
