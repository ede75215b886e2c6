#include "dispatch/ownslots.h"

#include <algorithm>
#include <tuple>

namespace persimmon::dispatch {

own_slots::own_slots(router_id aSelf, const upstream_stats_table& aStats)
  : mSelf(std::move(aSelf))
  , mStats(aStats)
  , mRouters{ mSelf }
{
}

bool
own_slots::SetRouters(std::vector<router_id> aRouters)
{
  aRouters.push_back(mSelf);
  std::sort(aRouters.begin(), aRouters.end());
  aRouters.erase(std::unique(aRouters.begin(), aRouters.end()), aRouters.end());
  const bool hasChanged = aRouters != mRouters;
  mRouters = std::move(aRouters);
  return hasChanged;
}

void
own_slots::Divide(std::vector<const fleet::engine_group*> aGroups,
                  const routes::route_table& aRoutes)
{
  mSlots.clear();
  mHeads.clear();
  std::sort(aGroups.begin(), aGroups.end(), [](const auto* aLeft, const auto* aRight) {
    return std::tie(aLeft->id, aLeft->epoch) < std::tie(aRight->id, aRight->epoch);
  });
  for (const fleet::engine_group* group : aGroups) {
    mHeads[{ group->service, group->model }].push_back(group->Head());
  }
  const auto self = std::lower_bound(mRouters.begin(), mRouters.end(), mSelf);
  for (const auto& [key, heads] : mHeads) {
    const routes::service_profile* service = aRoutes.FindService(key.first);
    const std::size_t slots = service != nullptr && service->engine ? service->engine->slots : 0;
    const admission::slot_shares shares(
      static_cast<std::size_t>(self - mRouters.begin()), mRouters.size(), heads.size(), slots);
    for (std::size_t i = 0; i < heads.size(); ++i) {
      mSlots[heads[i]] = shares.OfGroup(i);
    }
  }
}

std::size_t
own_slots::CountMoreUrgent(const service_name& aService,
                           const routes::model_name& aModel,
                           std::size_t aRank,
                           time_point aNow) const
{
  const auto found = mRanks.find({ aService, aModel });
  return found == mRanks.end() ? 0 : found->second.CountMoreUrgent(aRank, aNow);
}

std::vector<own_slots::model_key>
own_slots::Models() const
{
  std::vector<model_key> models;
  for (const auto& [key, heads] : mHeads) {
    models.push_back(key);
  }
  return models;
}

bool
own_slots::HasFree(const instance_id& aHead) const
{
  const auto found = mSlots.find(aHead);
  const upstream_stats* stats = mStats.Find(aHead);
  return found != mSlots.end() && (stats == nullptr ? 0 : stats->inFlight) < found->second;
}

own_slot_use
own_slots::UseOf(const service_name& aService, const routes::model_name& aModel) const
{
  own_slot_use use;
  const auto heads = mHeads.find({ aService, aModel });
  if (heads == mHeads.end()) {
    return use;
  }
  for (const instance_id& head : heads->second) {
    const std::size_t slots = mSlots.at(head);
    const upstream_stats* stats = mStats.Find(head);
    const std::size_t calls = stats == nullptr ? 0 : stats->inFlight;
    use.slots += slots;
    use.inUse += std::min(slots, calls);
  }
  return use;
}

} // namespace persimmon::dispatch
