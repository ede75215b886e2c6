#include "gateway/instanceregistry.h"

#include <algorithm>
#include <set>

namespace persimmon::gateway {
namespace {

/// Time within which live instances register again after the store recovers. Below the leave
/// notice, after which a leaving instance must receive no more calls.
constexpr duration kReregistrationTime = 1900_ms;

} // namespace

void
instance_registry::OnStoreRecovered(time_point aNow)
{
  mStoreAvailable = true;
  mRetainUntil = aNow + kReregistrationTime;
}

std::vector<instance_change>
instance_registry::ApplyList(const std::vector<instance_change>& aList,
                             revision aAsOf,
                             time_point aNow)
{
  std::vector<instance_change> accepted;
  std::set<instance_id> listed;
  for (const instance_change& change : aList) {
    listed.insert(change.id);
    if (ApplyChange(change, change_source::store, aNow)) {
      accepted.push_back(change);
    }
  }
  std::vector<instance_id> missing;
  for (const auto& [id, instance] : mView.Instances()) {
    if (listed.count(id) == 0 && mVersions[id] <= aAsOf) {
      missing.push_back(id);
    }
  }
  for (const instance_id& id : missing) {
    Remove(id, change_source::store, aNow);
  }
  return accepted;
}

bool
instance_registry::ApplyChange(const instance_change& aChange, change_source aFrom, time_point aNow)
{
  const auto [entry, inserted] = mVersions.try_emplace(aChange.id, aChange.version);
  if (!inserted && aChange.version < entry->second) {
    return false;
  }
  const bool isNewer = inserted || aChange.version > entry->second;
  if (!isNewer && aFrom == change_source::peer) {
    return false;
  }
  entry->second = aChange.version;
  if (aChange.entry) {
    mRetained.erase(aChange.id);
    mView.Upsert(*aChange.entry);
  } else {
    Remove(aChange.id, aFrom, aNow);
  }
  return isNewer;
}

void
instance_registry::Remove(const instance_id& aId, change_source aFrom, time_point aNow)
{
  // While this process cannot reach the store, a peer may report entries that expired in an outage.
  const bool mayHaveLapsed = aFrom == change_source::peer && !mStoreAvailable;
  const time_point until = mayHaveLapsed ? aNow + kReregistrationTime : mRetainUntil;
  if (aNow < until) {
    const auto retained = mRetained.try_emplace(aId, until).first;
    retained->second = std::min(retained->second, until);
    return;
  }
  mRetained.erase(aId);
  mView.Remove(aId);
}

bool
instance_registry::RemoveExpired(time_point aNow)
{
  std::vector<instance_id> expired;
  for (const auto& [id, until] : mRetained) {
    if (until <= aNow) {
      expired.push_back(id);
    }
  }
  for (const instance_id& id : expired) {
    mRetained.erase(id);
    mView.Remove(id);
  }
  return !expired.empty();
}

} // namespace persimmon::gateway
