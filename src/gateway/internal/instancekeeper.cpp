#include "gateway/instancekeeper.h"

#include <algorithm>
#include <set>

namespace persimmon::gateway {
namespace {

/// Entries of living instances are back this soon after the store's return. Below the time in
/// which a leaving instance must get no more calls.
constexpr duration kReturnOfEntries = 1900_ms;

} // namespace

void
instance_keeper::StoreReturned(time_point aNow)
{
  mStoreAnswers = true;
  mKeepUntil = aNow + kReturnOfEntries;
}

std::vector<instance_change>
instance_keeper::Replace(const std::vector<instance_change>& aList, revision aAsOf, time_point aNow)
{
  std::vector<instance_change> news;
  std::set<instance_id> listed;
  for (const instance_change& one : aList) {
    listed.insert(one.id);
    if (Take(one, change_source::store, aNow)) {
      news.push_back(one);
    }
  }
  std::vector<instance_id> missing;
  for (const auto& [id, one] : mView.All()) {
    if (listed.count(id) == 0 && mKnown[id] <= aAsOf) {
      missing.push_back(id);
    }
  }
  for (const instance_id& id : missing) {
    Remove(id, change_source::store, aNow);
  }
  return news;
}

bool
instance_keeper::Take(const instance_change& aChange, change_source aFrom, time_point aNow)
{
  const auto [entry, first] = mKnown.try_emplace(aChange.id, aChange.at);
  if (!first && aChange.at < entry->second) {
    return false;
  }
  const bool news = first || aChange.at > entry->second;
  if (!news && aFrom == change_source::peer) {
    return false;
  }
  entry->second = aChange.at;
  if (aChange.entry) {
    mLapsed.erase(aChange.id);
    mView.Put(*aChange.entry);
  } else {
    Remove(aChange.id, aFrom, aNow);
  }
  return news;
}

void
instance_keeper::Remove(const instance_id& aId, change_source aFrom, time_point aNow)
{
  // While the own store is silent, a peer may tell of entries that lapsed in an outage.
  const bool mayHaveLapsed = aFrom == change_source::peer && !mStoreAnswers;
  const time_point until = mayHaveLapsed ? aNow + kReturnOfEntries : mKeepUntil;
  if (aNow < until) {
    const auto kept = mLapsed.try_emplace(aId, until).first;
    kept->second = std::min(kept->second, until);
    return;
  }
  mLapsed.erase(aId);
  mView.Remove(aId);
}

bool
instance_keeper::Expire(time_point aNow)
{
  std::vector<instance_id> over;
  for (const auto& [id, until] : mLapsed) {
    if (until <= aNow) {
      over.push_back(id);
    }
  }
  for (const instance_id& id : over) {
    mLapsed.erase(id);
    mView.Remove(id);
  }
  return !over.empty();
}

} // namespace persimmon::gateway
