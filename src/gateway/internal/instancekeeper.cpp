#include "gateway/instancekeeper.h"

#include <set>

namespace persimmon::gateway {
namespace {

/// Entries of living instances are back this soon after the store's return.
constexpr duration kReturnOfEntries = 2200_ms;

} // namespace

void
instance_keeper::Lapse(const instance_id& aId, time_point aNow)
{
  mLapsed.try_emplace(aId, aNow + kReturnOfEntries);
}

void
instance_keeper::Replace(const std::vector<fleet::instance>& aList,
                         bool aAfterOutage,
                         time_point aNow)
{
  std::set<instance_id> listed;
  for (const fleet::instance& one : aList) {
    listed.insert(one.id);
    Put(one);
  }
  std::vector<instance_id> missing;
  for (const auto& [id, one] : mView.All()) {
    if (listed.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const instance_id& id : missing) {
    Remove(id, aAfterOutage, aNow);
  }
}

void
instance_keeper::Put(const fleet::instance& aInstance)
{
  mLapsed.erase(aInstance.id);
  mView.Put(aInstance);
}

void
instance_keeper::Remove(const instance_id& aId, bool aInOutage, time_point aNow)
{
  if (aInOutage) {
    Lapse(aId, aNow);
    return;
  }
  mLapsed.erase(aId);
  mView.Remove(aId);
}

bool
instance_keeper::Expire(time_point aNow)
{
  bool removed = false;
  for (auto it = mLapsed.begin(); it != mLapsed.end();) {
    if (it->second > aNow) {
      ++it;
      continue;
    }
    mView.Remove(it->first);
    it = mLapsed.erase(it);
    removed = true;
  }
  return removed;
}

} // namespace persimmon::gateway
