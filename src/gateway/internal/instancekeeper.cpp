#include "gateway/instancekeeper.h"

namespace persimmon::gateway {
namespace {

/// Entries of living instances are back this soon after the store's return. Below the time in
/// which a leaving instance must get no more calls.
constexpr duration kReturnOfEntries = 1900_ms;

} // namespace

void
instance_keeper::StoreReturned(time_point aNow)
{
  mKeepUntil = aNow + kReturnOfEntries;
}

void
instance_keeper::Replace(const std::vector<fleet::instance>& aList, time_point aNow)
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
    Remove(id, aNow);
  }
}

void
instance_keeper::Put(const fleet::instance& aInstance)
{
  mLapsed.erase(aInstance.id);
  mView.Put(aInstance);
}

void
instance_keeper::Remove(const instance_id& aId, time_point aNow)
{
  if (aNow < mKeepUntil) {
    mLapsed.insert(aId);
    return;
  }
  mLapsed.erase(aId);
  mView.Remove(aId);
}

bool
instance_keeper::Expire(time_point aNow)
{
  if (aNow < mKeepUntil || mLapsed.empty()) {
    return false;
  }
  for (const instance_id& id : mLapsed) {
    mView.Remove(id);
  }
  mLapsed.clear();
  return true;
}

} // namespace persimmon::gateway
