#include "placement/leasekeeper.h"

#include <algorithm>

namespace persimmon::placement {
namespace {

/// An expired lease is deleted once it has been unchanged for this many times its length.
constexpr std::int64_t kDeleteAfterLeaseLengths = 10;

} // namespace

lease_keeper::lease_keeper(placer_id aSelf, duration aLength)
  : mSelf(std::move(aSelf))
  , mLength(aLength)
{
}

duration
lease_keeper::SafetyMargin() const
{
  return mLength / 5;
}

duration
lease_keeper::RenewalInterval() const
{
  return mLength / 3;
}

bool
lease_keeper::IsOwnKey(const platform::object_key& aKey) const
{
  return aKey.kind == kLeaseKind && aKey.name == mSelf.value;
}

time_point
lease_keeper::OrderDeadline() const
{
  if (!mConfirmedRenewal || !mLastListSentAt || mReleased) {
    return { INT64_MIN / 2 };
  }
  return std::min(*mConfirmedRenewal, *mLastListSentAt) + mLength - SafetyMargin();
}

std::vector<placer_id>
lease_keeper::LivePlacers(time_point aNow) const
{
  std::vector<placer_id> live;
  for (const auto& [placer, lease] : mObservedLeases) {
    if (!lease.expired) {
      live.push_back(placer);
    }
  }
  if (IsHeld(aNow)) {
    live.push_back(mSelf);
  }
  return live;
}

placement_actions
lease_keeper::Handle(const placement_event& aEvent, time_point aNow)
{
  placement_actions actions;
  if (const auto* listed = std::get_if<objects_listed>(&aEvent)) {
    OnListed(*listed, aNow, actions);
  } else if (const auto* written = std::get_if<object_written>(&aEvent)) {
    OnWritten(*written, aNow);
  } else if (const auto* read = std::get_if<object_read>(&aEvent)) {
    OnRead(*read, aNow);
  }
  if (!mReleased) {
    SendDueCalls(aNow, actions);
  }
  return actions;
}

void
lease_keeper::SendDueCalls(time_point aNow, placement_actions& aActions)
{
  const platform::object_key key{ kLeaseKind, mSelf.value };
  if (!mListInFlight && aNow >= mNextList) {
    mListInFlight = true;
    mListSentAt = aNow;
    mNextList = aNow + RenewalInterval();
    aActions.emplace_back(list_objects{ kLeaseKind });
  }
  if (mWriteInFlight || mReadInFlight || aNow < mNextRenewal) {
    return;
  }
  mNextRenewal = aNow + RenewalInterval();
  if (mReadRequired) {
    mReadInFlight = true;
    aActions.emplace_back(read_object{ key });
    return;
  }
  mWriteInFlight = true;
  mWriteSentAt = aNow;
  const placer_lease lease{ mSelf, mLength, ++mRenewals };
  aActions.emplace_back(write_object{ key, RenderLease(lease), { mVersion } });
}

placement_actions
lease_keeper::Release()
{
  mReleased = true;
  placement_actions actions;
  if (mVersion) {
    actions.emplace_back(delete_object{ { kLeaseKind, mSelf.value }, *mVersion });
  }
  return actions;
}

void
lease_keeper::ConfirmRenewal(revision aVersion, time_point aNow)
{
  const bool wasValid = mConfirmedRenewal && aNow < *mConfirmedRenewal + mLength;
  if (!wasValid) {
    ++mEpoch;
  }
  mVersion = aVersion;
  mConfirmedRenewal = mWriteSentAt;
}

void
lease_keeper::OnWritten(const object_written& aEvent, time_point aNow)
{
  if (!IsOwnKey(aEvent.key) || !mWriteInFlight) {
    return;
  }
  mWriteInFlight = false;
  if (aEvent.version) {
    ConfirmRenewal(*aEvent.version, aNow);
    return;
  }
  // A write with unknown outcome is superseded by the next write, which is conditional on the
  // revision read first.
  mReadRequired = aEvent.error == platform::store_error::unknown_outcome ||
                  aEvent.error == platform::store_error::conflict;
  mNextRenewal = aNow + (mReadRequired ? duration{} : RenewalInterval() / 4);
}

void
lease_keeper::OnRead(const object_read& aEvent, time_point aNow)
{
  if (!IsOwnKey(aEvent.key) || !mReadInFlight) {
    return;
  }
  mReadInFlight = false;
  if (aEvent.object) {
    mVersion = aEvent.object->version;
  } else if (aEvent.error == platform::store_error::not_found) {
    mVersion.reset();
  } else {
    mNextRenewal = aNow + RenewalInterval() / 4;
    return;
  }
  mReadRequired = false;
  mNextRenewal = aNow;
}

void
lease_keeper::UpdateObservedLease(const platform::stored_object& aObject,
                                  bool aAfterGap,
                                  time_point aNow)
{
  const auto parsed = ParseLease(aObject.value);
  const placer_id placer{ aObject.key.name };
  if (!parsed || placer == mSelf) {
    return;
  }
  observed_lease& lease = mObservedLeases[placer];
  if (lease.version != aObject.version || (aAfterGap && !lease.expired)) {
    lease = { aObject.version, parsed->length, aNow, false };
    return;
  }
  lease.expired = lease.expired || mListSentAt - lease.unchangedSince >= lease.length;
}

void
lease_keeper::DeleteExpiredLeases(placement_actions& aActions)
{
  for (auto& [placer, lease] : mObservedLeases) {
    const duration age = mListSentAt - lease.unchangedSince;
    if (lease.expired && age >= lease.length * kDeleteAfterLeaseLengths) {
      aActions.emplace_back(delete_object{ { kLeaseKind, placer.value }, lease.version });
      // If the delete fails, it is retried only after the same time again.
      lease.unchangedSince = mListSentAt;
    }
  }
}

void
lease_keeper::OnListed(const objects_listed& aEvent, time_point aNow, placement_actions& aActions)
{
  if (aEvent.kind != kLeaseKind || !mListInFlight) {
    return;
  }
  mListInFlight = false;
  if (!aEvent.list) {
    mNextList = aNow + RenewalInterval() / 4;
    return;
  }
  const bool afterGap = !mLastListSentAt || mListSentAt - *mLastListSentAt > mLength;
  std::map<placer_id, observed_lease> before;
  std::swap(before, mObservedLeases);
  for (const platform::stored_object& object : aEvent.list->objects) {
    const auto known = before.find({ object.key.name });
    if (known != before.end()) {
      mObservedLeases.insert(*known);
    }
    UpdateObservedLease(object, afterGap, aNow);
  }
  mLastListSentAt = mListSentAt;
  DeleteExpiredLeases(aActions);
}

} // namespace persimmon::placement
