#include "placement/leasekeeper.h"

#include <algorithm>

namespace persimmon::placement {
namespace {

/// A lapsed lease is deleted after this many of its lengths.
constexpr std::int64_t kCollectAfterLengths = 10;

} // namespace

lease_keeper::lease_keeper(placer_id aSelf, duration aLength)
  : mSelf(std::move(aSelf))
  , mLength(aLength)
{
}

duration
lease_keeper::Margin() const
{
  return mLength / 5;
}

duration
lease_keeper::Interval() const
{
  return mLength / 3;
}

bool
lease_keeper::IsOwnKey(const platform::object_key& aKey) const
{
  return aKey.kind == kLeaseKind && aKey.name == mSelf.value;
}

time_point
lease_keeper::OrderUntil() const
{
  if (!mConfirmed || !mLastListSent || mReleased) {
    return { INT64_MIN / 2 };
  }
  return std::min(*mConfirmed, *mLastListSent) + mLength - Margin();
}

std::vector<placer_id>
lease_keeper::Live(time_point aNow) const
{
  std::vector<placer_id> live;
  for (const auto& [placer, lease] : mOthers) {
    if (!lease.lapsed) {
      live.push_back(placer);
    }
  }
  if (Holds(aNow)) {
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
    Renew(aNow, actions);
  }
  return actions;
}

void
lease_keeper::Renew(time_point aNow, placement_actions& aActions)
{
  const platform::object_key key{ kLeaseKind, mSelf.value };
  if (!mListing && aNow >= mNextList) {
    mListing = true;
    mListSent = aNow;
    mNextList = aNow + Interval();
    aActions.emplace_back(list_objects{ kLeaseKind });
  }
  if (mWriting || mReading || aNow < mNextRenewal) {
    return;
  }
  mNextRenewal = aNow + Interval();
  if (mMustRead) {
    mReading = true;
    aActions.emplace_back(read_object{ key });
    return;
  }
  mWriting = true;
  mWriteSent = aNow;
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
lease_keeper::Confirm(revision aVersion, time_point aNow)
{
  const bool wasValid = mConfirmed && aNow < *mConfirmed + mLength;
  if (!wasValid) {
    ++mEpoch;
  }
  mVersion = aVersion;
  mConfirmed = mWriteSent;
}

void
lease_keeper::OnWritten(const object_written& aEvent, time_point aNow)
{
  if (!IsOwnKey(aEvent.key) || !mWriting) {
    return;
  }
  mWriting = false;
  if (aEvent.version) {
    Confirm(*aEvent.version, aNow);
    return;
  }
  // A write that may still be on its way is settled by the next one from the revision read.
  mMustRead = aEvent.error == platform::store_error::unknown_outcome ||
              aEvent.error == platform::store_error::conflict;
  mNextRenewal = aNow + (mMustRead ? duration{} : Interval() / 4);
}

void
lease_keeper::OnRead(const object_read& aEvent, time_point aNow)
{
  if (!IsOwnKey(aEvent.key) || !mReading) {
    return;
  }
  mReading = false;
  if (aEvent.object) {
    mVersion = aEvent.object->version;
  } else if (aEvent.error == platform::store_error::not_found) {
    mVersion.reset();
  } else {
    mNextRenewal = aNow + Interval() / 4;
    return;
  }
  mMustRead = false;
  mNextRenewal = aNow;
}

void
lease_keeper::Observe(const platform::stored_object& aObject, bool aAfterGap, time_point aNow)
{
  const auto parsed = ParseLease(aObject.value);
  const placer_id placer{ aObject.key.name };
  if (!parsed || placer == mSelf) {
    return;
  }
  observed_lease& lease = mOthers[placer];
  if (lease.version != aObject.version || (aAfterGap && !lease.lapsed)) {
    lease = { aObject.version, parsed->length, aNow, false };
    return;
  }
  lease.lapsed = lease.lapsed || mListSent - lease.unchangedSince >= lease.length;
}

void
lease_keeper::CollectLapsed(placement_actions& aActions)
{
  for (auto& [placer, lease] : mOthers) {
    const duration age = mListSent - lease.unchangedSince;
    if (lease.lapsed && age >= lease.length * kCollectAfterLengths) {
      aActions.emplace_back(delete_object{ { kLeaseKind, placer.value }, lease.version });
      // Asked again only after as long a time, should the delete fail.
      lease.unchangedSince = mListSent;
    }
  }
}

void
lease_keeper::OnListed(const objects_listed& aEvent, time_point aNow, placement_actions& aActions)
{
  if (aEvent.kind != kLeaseKind || !mListing) {
    return;
  }
  mListing = false;
  if (!aEvent.list) {
    mNextList = aNow + Interval() / 4;
    return;
  }
  const bool afterGap = !mLastListSent || mListSent - *mLastListSent > mLength;
  std::map<placer_id, observed_lease> before;
  std::swap(before, mOthers);
  for (const platform::stored_object& object : aEvent.list->objects) {
    const auto known = before.find({ object.key.name });
    if (known != before.end()) {
      mOthers.insert(*known);
    }
    Observe(object, afterGap, aNow);
  }
  mLastListSent = mListSent;
  CollectLapsed(aActions);
}

} // namespace persimmon::placement
