#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/storeerror.h"

#include <optional>
#include <string>

namespace persimmon::gateway {

/// Where the lease to form groups lies in the store.
constexpr const char* kLeaseKind = "gateway-leases";
constexpr const char* kLeaseName = "assembly";
/// How often a keeper looks at its rules.
constexpr duration kLeaseTickInterval{ 100 };

/// What the lease's object holds.
struct lease_value
{
  /// Empty when the last holder has given it back.
  router_id holder;
  fencing_token token;
  /// Grows with each renewal, so that each changes the object.
  std::uint64_t renewals = 0;
};

std::string
SerializeLease(const lease_value& aValue);

/// Reads a lease; one that cannot be read counts as held by nobody with the token 0.
lease_value
ParseLease(const std::string& aText);

/// Times of a lease, in time that goes on while a machine is suspended.
struct lease_timing
{
  /// A holder that has not renewed for this long has lost it.
  duration expiry{ 2400 };
  /// A holder acts only until so long after its last renewal was requestedAt for.
  duration holderValidity{ 1700 };
  duration renewInterval{ 600 };
  /// Pause between the looks of those that wait.
  duration pollInterval{ 400 };
  duration retryDelay{ 200 };
};

/// What a keeper does next.
struct lease_step
{
  enum class action_kind
  {
    none,
    /// A look that may be some seconds old.
    read_stale_ok,
    read,
    write
  };

  action_kind action = action_kind::none;
  lease_value value;
  /// Revision that the object must have; none to create it.
  std::optional<revision> expected;
};

/// Decides about a lease: when to look, to take, to renew, and until when to trust it. A lease
/// counts as lapsed when its object stood unchanged for its whole duration on the observer's own
/// clock. Pure.
class lease_state_machine
{
public:
  lease_state_machine(router_id aSelf, lease_timing aTiming, std::uint64_t aSeed);

  [[nodiscard]] const router_id& Self() const { return mSelf; }
  [[nodiscard]] const router_id& Holder() const { return mLease.holder; }
  [[nodiscard]] fencing_token Token() const { return mLease.token; }
  /// True while this process may act.
  [[nodiscard]] bool IsHolder(time_point aNow) const;

  lease_step NextStep(time_point aNow);
  /// The lease was read; aAllowStale says that it may be some seconds old.
  void OnRead(const lease_value& aValue, revision aVersion, bool aAllowStale, time_point aNow);
  void OnMissing(bool aAllowStale, time_point aNow);
  void OnReadFailed(time_point aNow);
  /// A write was accepted that had been requestedAt for at aRequestedAt.
  void OnWritten(const lease_value& aValue, revision aVersion, time_point aRequestedAt);
  /// A write that had been requestedAt for at aRequestedAt was refused, or its outcome is not
  /// known.
  void OnWriteFailed(platform::store_error aError, time_point aRequestedAt, time_point aNow);
  /// Returns the write that gives the lease back, when this process holds it.
  std::optional<lease_step> Release(time_point aNow);

private:
  [[nodiscard]] bool IsExpired(time_point aNow) const;

  router_id mSelf;
  lease_timing mTiming;
  /// Spreads the looks of many processes.
  duration mJitter;
  lease_value mLease;
  std::optional<revision> mVersion;
  bool mMissing = false;
  /// The newest look was exact, so that a write may build on it.
  bool mLastReadExact = false;
  bool mHasRead = false;
  /// When this process first saw the present revision.
  time_point mUnchangedSince{ INT64_MIN / 2 };
  time_point mNextActionAt{ INT64_MIN / 2 };
  std::optional<time_point> mRenewedAt;
  /// When a write was requestedAt for whose outcome is not known.
  std::optional<time_point> mUnresolvedWriteAt;
};

} // namespace persimmon::gateway
