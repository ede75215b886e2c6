#pragma once

#include "placement/placementmessages.h"
#include "placement/placerlease.h"

#include <map>
#include <vector>

namespace persimmon::placement {

/// Holds this placer's lease and judges those of the others. Times are of the boot clock.
///
/// A lease of another placer has lapsed when its object stood unchanged for the lease's full
/// length between two lists; a gap in the lists starts the observation anew, so that an outage of
/// the platform does not look like the death of every placer.
class lease_keeper
{
public:
  lease_keeper(placer_id aSelf, duration aLength);

  placement_actions Handle(const placement_event& aEvent, time_point aNow);
  /// Deletes the lease, so that others need not wait for it to lapse; no order may follow.
  placement_actions Release();

  /// Returns whether the lease is valid with a margin left and the view of the others is fresh.
  [[nodiscard]] bool Holds(time_point aNow) const { return aNow < OrderUntil(); }
  /// Moment from which no order may be sent unless the lease is renewed.
  [[nodiscard]] time_point OrderUntil() const;
  /// Counts the times at which the lease was gained after it had been invalid. Whoever relied on
  /// the lease must read again what others may have changed in between.
  [[nodiscard]] std::uint64_t Epoch() const { return mEpoch; }
  /// The placers whose leases have not lapsed, this one included while it holds its own.
  [[nodiscard]] std::vector<placer_id> Live(time_point aNow) const;
  [[nodiscard]] duration Length() const { return mLength; }

private:
  struct observed_lease
  {
    revision version;
    duration length;
    time_point unchangedSince;
    bool lapsed = false;
  };

  void OnListed(const objects_listed& aEvent, time_point aNow, placement_actions& aActions);
  void OnWritten(const object_written& aEvent, time_point aNow);
  void OnRead(const object_read& aEvent, time_point aNow);
  void Observe(const platform::stored_object& aObject, bool aAfterGap, time_point aNow);
  void Confirm(revision aVersion, time_point aNow);
  void Renew(time_point aNow, placement_actions& aActions);
  void CollectLapsed(placement_actions& aActions);
  [[nodiscard]] bool IsOwnKey(const platform::object_key& aKey) const;
  [[nodiscard]] duration Margin() const;
  [[nodiscard]] duration Interval() const;

  placer_id mSelf;
  duration mLength;
  std::optional<revision> mVersion;
  std::uint64_t mRenewals = 0;
  bool mWriting = false;
  bool mReading = false;
  bool mListing = false;
  bool mMustRead = false;
  bool mReleased = false;
  std::optional<time_point> mConfirmed;
  time_point mWriteSent;
  time_point mListSent;
  time_point mNextRenewal;
  time_point mNextList;
  std::optional<time_point> mLastListSent;
  std::uint64_t mEpoch = 0;
  std::map<placer_id, observed_lease> mOthers;
};

} // namespace persimmon::placement
