#include "gateway/instanceregistry.h"

#include "platform/storerevision.h"

#include <algorithm>
#include <utility>

namespace persimmon::gateway {
namespace {

/// Time within which live instances register again after the store recovers. Below the leave
/// notice, after which a leaving instance must receive no more calls.
constexpr duration kReregistrationTime = 1900_ms;

/// Time from the start of an instance until this process knows its entry, while the store answers.
constexpr duration kRegistrationTime = 1500_ms;

/// Returns whether an entry shows an earlier state of an instance than another one.
bool
IsEarlierState(const fleet::instance& aEntry, const fleet::instance& aKnown)
{
  if (aEntry.incarnationId != aKnown.incarnationId) {
    return aEntry.incarnationId < aKnown.incarnationId;
  }
  return aEntry.acceptedOrders < aKnown.acceptedOrders || (aKnown.draining && !aEntry.draining);
}

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
    if (ApplyChange(change, change_source::list, aNow)) {
      accepted.push_back(change);
    }
  }
  std::vector<instance_id> missing;
  for (const auto& [id, instance] : mView.Instances()) {
    if (listed.count(id) == 0 && mKnown[id].version <= aAsOf) {
      missing.push_back(id);
    }
  }
  for (const instance_id& id : missing) {
    mKnown[id].version = aAsOf;
    mMissingInList.insert(id);
    Remove(id, change_source::list, aNow);
  }
  return accepted;
}

bool
instance_registry::IsFromOlderCopy(const instance_change& aChange,
                                   const known_instance& aKnown,
                                   change_source aFrom) const
{
  const bool laterEra = platform::EraOf(aChange.version) > platform::EraOf(aKnown.version);
  // What an instance writes after the store came back is its present state.
  if (!laterEra || aFrom == change_source::store || !aChange.entry) {
    return false;
  }
  if (aKnown.endedUnseen && aFrom == change_source::list) {
    return true;
  }
  if (aKnown.ended) {
    return aChange.entry->incarnationId <= *aKnown.ended;
  }
  const fleet::instance* present = mView.Find(aChange.id);
  if (present == nullptr) {
    return false;
  }
  const bool isLeaving = mRetained.count(aChange.id) != 0;
  return isLeaving ? aChange.entry->incarnationId <= present->incarnationId
                   : IsEarlierState(*aChange.entry, *present);
}

bool
instance_registry::IsKnownBetterByPeer(const instance_change& aChange,
                                       const known_instance& aKnown) const
{
  const fleet::instance* present = mView.Find(aChange.id);
  if (!aKnown.onlyListed || present == nullptr ||
      platform::EraOf(aChange.version) >= platform::EraOf(aKnown.version)) {
    return false;
  }
  return !aChange.entry || IsEarlierState(*present, *aChange.entry);
}

bool
instance_registry::ApplyChange(const instance_change& aChange, change_source aFrom, time_point aNow)
{
  const auto [position, inserted] =
    mKnown.try_emplace(aChange.id, known_instance{ aChange.version, false, std::nullopt, false });
  known_instance& known = position->second;
  const bool knownBetter = aFrom == change_source::peer && IsKnownBetterByPeer(aChange, known);
  const bool isOlder = aChange.version < known.version && !knownBetter;
  if (!inserted && (isOlder || IsFromOlderCopy(aChange, known, aFrom))) {
    return false;
  }
  const bool isNewer = inserted || knownBetter || aChange.version > known.version;
  if (!isNewer && aFrom == change_source::peer) {
    return false;
  }
  known.version = aChange.version;
  known.onlyListed = aFrom == change_source::list && (inserted || known.onlyListed);
  mMissingInList.erase(aChange.id);
  if (aChange.entry) {
    known.ended.reset();
    known.endedUnseen = false;
    mRetained.erase(aChange.id);
    mView.Upsert(WithBegin(*aChange.entry, aNow));
  } else if (knownBetter) {
    mRetained.erase(aChange.id);
    End(aChange.id);
  } else {
    Remove(aChange.id, aFrom, aNow);
  }
  return isNewer;
}

fleet::instance
instance_registry::WithBegin(fleet::instance aEntry, time_point aNow) const
{
  const fleet::instance* present = mView.Find(aEntry.id);
  if (present != nullptr && present->incarnationId == aEntry.incarnationId) {
    aEntry.mayHaveBegunAt = present->mayHaveBegunAt;
    return aEntry;
  }
  const bool wasCurrent = mStoreAvailable && aNow >= mRetainUntil;
  aEntry.mayHaveBegunAt = (wasCurrent ? aNow : std::min(aNow, mStoreLostAt)) - kRegistrationTime;
  return aEntry;
}

void
instance_registry::Remove(const instance_id& aId, change_source aFrom, time_point aNow)
{
  if (mView.Find(aId) == nullptr) {
    End(aId);
    return;
  }
  // While this process cannot reach the store, a peer may report entries that expired in an outage.
  const bool mayHaveLapsed = aFrom == change_source::peer && !mStoreAvailable;
  const time_point until = mayHaveLapsed ? aNow + kReregistrationTime : mRetainUntil;
  if (aNow < until) {
    const auto retained = mRetained.try_emplace(aId, until).first;
    retained->second = std::min(retained->second, until);
    return;
  }
  mRetained.erase(aId);
  End(aId);
}

void
instance_registry::End(const instance_id& aId)
{
  known_instance& known = mKnown[aId];
  const fleet::instance* ended = mView.Find(aId);
  if (ended != nullptr) {
    known.ended = ended->incarnationId;
  }
  known.endedUnseen = ended == nullptr && !known.ended;
  mView.Remove(aId);
  if (mMissingInList.erase(aId) != 0) {
    mListedEnds.push_back({ aId, known.version, std::nullopt });
  }
}

std::vector<instance_change>
instance_registry::TakeListedEnds()
{
  return std::exchange(mListedEnds, {});
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
    End(id);
  }
  return !expired.empty();
}

} // namespace persimmon::gateway
