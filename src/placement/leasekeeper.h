#pragma once

#include "placement/placementmessages.h"
#include "placement/placerlease.h"

#include <map>
#include <vector>

namespace persimmon::placement {

/// Renews this placer's lease and detects expired leases of other placers. Times are of the boot
/// clock.
///
/// Another placer's lease has expired when its object stayed unchanged across lists for the lease's
/// full length. A gap between successful lists restarts the observation, so that a platform outage
/// is not mistaken for the failure of every placer.
class lease_keeper
{
public:
  lease_keeper(placer_id aSelf, duration aLength);

  placement_actions Handle(const placement_event& aEvent, time_point aNow);
  /// Deletes the lease, so that other placers need not wait for its expiry. No order may be sent
  /// afterwards.
  placement_actions Release();

  /// Returns whether the lease is valid with the safety margin left and the last successful list of
  /// leases is recent enough.
  [[nodiscard]] bool IsHeld(time_point aNow) const { return aNow < OrderDeadline(); }
  /// Returns the time from which no order may be sent unless the lease is renewed.
  [[nodiscard]] time_point OrderDeadline() const;
  /// Returns how often the lease was gained after it had been invalid. After an increase, objects
  /// that other placers may have changed in the meantime must be read again.
  [[nodiscard]] std::uint64_t Epoch() const { return mEpoch; }
  /// Returns the placers whose leases have not expired, including this placer while it holds its
  /// lease.
  [[nodiscard]] std::vector<placer_id> LivePlacers(time_point aNow) const;
  [[nodiscard]] duration Length() const { return mLength; }

private:
  struct observed_lease
  {
    revision version;
    duration length;
    time_point unchangedSince;
    bool expired = false;
  };

  void OnListed(const objects_listed& aEvent, time_point aNow, placement_actions& aActions);
  void OnWritten(const object_written& aEvent, time_point aNow);
  void OnRead(const object_read& aEvent, time_point aNow);
  void UpdateObservedLease(const platform::stored_object& aObject, bool aAfterGap, time_point aNow);
  void ConfirmRenewal(revision aVersion, time_point aNow);
  void SendDueCalls(time_point aNow, placement_actions& aActions);
  void DeleteExpiredLeases(placement_actions& aActions);
  [[nodiscard]] bool IsOwnKey(const platform::object_key& aKey) const;
  [[nodiscard]] duration SafetyMargin() const;
  [[nodiscard]] duration RenewalInterval() const;

  placer_id mSelf;
  duration mLength;
  std::optional<revision> mVersion;
  std::uint64_t mRenewals = 0;
  bool mWriteInFlight = false;
  bool mReadInFlight = false;
  bool mListInFlight = false;
  bool mReadRequired = false;
  bool mReleased = false;
  std::optional<time_point> mConfirmedRenewal;
  time_point mWriteSentAt;
  time_point mListSentAt;
  time_point mNextRenewal;
  time_point mNextList;
  std::optional<time_point> mLastListSentAt;
  std::uint64_t mEpoch = 0;
  std::map<placer_id, observed_lease> mObservedLeases;
};

} // namespace persimmon::placement
