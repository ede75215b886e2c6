#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "platform/storeerror.h"
#include "platform/storerevision.h"

#include <optional>
#include <string>

namespace persimmon::gateway {

/// Kind and name of the store object that holds the assembly lease.
constexpr const char* kLeaseKind = "gateway-leases";
constexpr const char* kLeaseName = "assembly";
/// Number of fencing tokens reserved for each era of the store, so that a token that was lost with
/// the store's last writes is not given out again.
constexpr std::uint64_t kTokensPerEra = 1000000;
/// Interval at which a lease_manager evaluates its state machine.
constexpr duration kLeaseTickInterval{ 100 };

/// Content of the lease object.
struct lease_value
{
  /// Empty when the last holder has released the lease.
  router_id holder;
  fencing_token token;
  /// Incremented by each renewal, so that every renewal changes the object.
  std::uint64_t renewals = 0;
};

/// Renders a lease object as JSON.
std::string
SerializeLease(const lease_value& aValue);

/// Parses a lease object. A missing or malformed field has its default value: no holder and token
/// 0.
lease_value
ParseLease(const std::string& aText);

/// Durations of a lease, measured on a clock that continues while the machine is suspended.
struct lease_timing
{
  /// Time without a renewal after which the holder has lost the lease and others may acquire it.
  duration expiry{ 2400 };
  /// Time after the start of its last successful renewal during which the holder may act. Shorter
  /// than expiry, so that the holder stops before another process acquires the lease.
  duration holderValidity{ 1700 };
  /// Interval between the holder's renewals.
  duration renewInterval{ 600 };
  /// Interval between the reads of a process that waits for the lease.
  duration pollInterval{ 400 };
  /// Pause after a failed read or write.
  duration retryDelay{ 200 };
  /// Further time that this process leaves the lease to others once it may be acquired.
  duration acquireDelay{};
};

/// Returns the acquireDelay of a process with a part of a processor; 0 when it is not known. The
/// holder probes all engines, besides its callers' calls: those with little processor time leave it
/// to those with more.
[[nodiscard]] duration
AcquireDelay(double aProcessorQuota);

/// Store call that is due next.
struct lease_step
{
  enum class action_kind
  {
    none,
    /// A read whose result may be some seconds old.
    read_stale_ok,
    read,
    write
  };

  action_kind action = action_kind::none;
  lease_value value;
  /// Revision that the object must have for the write to succeed; nothing to create the object.
  std::optional<revision> expected;
};

/// Decides when to read, acquire and renew a lease, and until when this process may act as its
/// holder. A lease counts as expired when its object has not changed for the whole expiry time on
/// the observer's own clock. Does no I/O and reads no clock.
class lease_state_machine
{
public:
  lease_state_machine(router_id aSelf, lease_timing aTiming, std::uint64_t aSeed);

  /// Name of this process.
  [[nodiscard]] const router_id& Self() const { return mSelf; }
  /// Holder of the lease as last read or written; empty when there is none.
  [[nodiscard]] const router_id& Holder() const { return mLease.holder; }
  /// Fencing token of the lease as last read or written.
  [[nodiscard]] fencing_token Token() const { return mLease.token; }
  /// Returns whether this process may act as the holder now.
  [[nodiscard]] bool IsHolder(time_point aNow) const;

  /// The store is in another era, or its era is known for the first time. What was read and written
  /// in a former era no longer holds: this process is not the holder, and nobody acquires the lease
  /// before a holder of the former era has lost it. Tokens of a later era are higher than all
  /// before.
  void OnEra(platform::store_era aEra, time_point aNow);
  /// Returns the store call that is due now; action_kind::none when there is none.
  lease_step NextStep(time_point aNow);
  /// The lease was read; with aAllowStale, the result may be some seconds old.
  void OnRead(const lease_value& aValue, revision aVersion, bool aAllowStale, time_point aNow);
  /// The lease object does not exist.
  void OnMissing(bool aAllowStale, time_point aNow);
  /// The read failed; it is retried later.
  void OnReadFailed(time_point aNow);
  /// A write that was requested at aRequestedAt succeeded.
  void OnWritten(const lease_value& aValue, revision aVersion, time_point aRequestedAt);
  /// A write that was requested at aRequestedAt failed, or its outcome is unknown.
  void OnWriteFailed(platform::store_error aError, time_point aRequestedAt, time_point aNow);
  /// Returns the write that releases the lease; nothing when this process is not the holder.
  std::optional<lease_step> Release(time_point aNow);

private:
  /// Returns whether another process may acquire the lease.
  [[nodiscard]] bool IsExpired(time_point aNow) const;

  router_id mSelf;
  lease_timing mTiming;
  std::optional<platform::store_era> mEra;
  /// Time at which the present era became known.
  time_point mEraSince{ INT64_MIN / 2 };
  /// Earliest time at which a lease may be acquired that nobody holds.
  time_point mAcquireNotBefore{ INT64_MIN / 2 };
  /// Lower bound of the token that this process acquires the lease with.
  fencing_token mTokenFloor;
  /// Random delay that spreads the store calls of many processes, at most the poll interval.
  duration mJitter;
  lease_value mLease;
  std::optional<revision> mVersion;
  /// True when the lease object did not exist at the last read.
  bool mMissing = false;
  /// Since when the lease has been known to have no holder; nothing while it has one.
  std::optional<time_point> mVacantSince;
  /// True when the last read was not stale, so that a write may be based on it.
  bool mLastReadExact = false;
  /// True when the lease was read since the start and since the last failed write.
  bool mHasRead = false;
  /// Time at which this process first saw the present revision.
  time_point mUnchangedSince{ INT64_MIN / 2 };
  /// Earliest time of the next store call.
  time_point mNextActionAt{ INT64_MIN / 2 };
  /// Start of this process's last successful renewal; nothing when it is not the holder.
  std::optional<time_point> mRenewedAt;
  /// Time at which the first write with an unknown outcome was requested; nothing when there is
  /// none.
  std::optional<time_point> mUnresolvedWriteAt;
};

} // namespace persimmon::gateway
