#include "standins/platform/lagginglist.h"

namespace persimmon::standins {

void
lagging_list::Apply(const pending_change& aChange, instance_map& aMap)
{
  if (aChange.value) {
    aMap[aChange.instance] = *aChange.value;
  } else {
    aMap.erase(aChange.instance);
  }
}

bool
lagging_list::Add(const platform::listed_instance& aInstance, time_point aNow)
{
  const auto known = mActual.find(aInstance.id);
  const bool markedBefore = known != mActual.end() && known->second.leaving &&
                            known->second.incarnation == aInstance.incarnation;
  const pending_change change{ aNow + mLag, aInstance.id, aInstance };
  Apply(change, mActual);
  mPending.push_back(change);
  return aInstance.leaving && !markedBefore;
}

void
lagging_list::Remove(const instance_id& aInstance, time_point aNow)
{
  const pending_change change{ aNow + mLag, aInstance, std::nullopt };
  Apply(change, mActual);
  mPending.push_back(change);
}

std::vector<platform::listed_instance>
lagging_list::Visible(time_point aNow)
{
  while (!mPending.empty() && mPending.front().visibleAt <= aNow) {
    Apply(mPending.front(), mVisible);
    mPending.pop_front();
  }
  std::vector<platform::listed_instance> list;
  list.reserve(mVisible.size());
  for (const auto& [instance, value] : mVisible) {
    list.push_back(value);
  }
  return list;
}

} // namespace persimmon::standins
