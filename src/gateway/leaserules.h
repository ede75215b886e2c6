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
constexpr duration kLeaseTick{ 100 };

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
RenderLease(const lease_value& aValue);

/// Reads a lease; one that cannot be read counts as held by nobody with the token 0.
lease_value
ParseLease(const std::string& aText);

/// Times of a lease, in time that goes on while a machine is suspended.
struct lease_times
{
  /// A holder that has not renewed for this long has lost it.
  duration lifetime{ 2400 };
  /// A holder acts only until so long after its last renewal was asked for.
  duration trust{ 1700 };
  duration renew{ 600 };
  /// Pause between the looks of those that wait.
  duration look{ 400 };
  duration lookAgain{ 200 };
};

/// What a keeper does next.
struct lease_step
{
  enum class kind
  {
    none,
    /// A look that may be some seconds old.
    read_cheap,
    read,
    write
  };

  kind what = kind::none;
  lease_value value;
  /// Revision that the object must have; none to create it.
  std::optional<revision> expected;
};

/// Decides about a lease: when to look, to take, to renew, and until when to trust it. A lease
/// counts as lapsed when its object stood unchanged for its whole duration on the observer's own
/// clock. Pure.
class lease_rules
{
public:
  lease_rules(router_id aSelf, lease_times aTimes, std::uint64_t aSeed);

  [[nodiscard]] const router_id& Self() const { return mSelf; }
  [[nodiscard]] const router_id& Holder() const { return mKnown.holder; }
  [[nodiscard]] fencing_token Token() const { return mKnown.token; }
  /// True while this process may act.
  [[nodiscard]] bool Holds(time_point aNow) const;

  lease_step Next(time_point aNow);
  /// The lease was read; aCheap says that it may be some seconds old.
  void Seen(const lease_value& aValue, revision aVersion, bool aCheap, time_point aNow);
  void SeenMissing(bool aCheap, time_point aNow);
  void NotRead(time_point aNow);
  /// A write was accepted that had been asked for at aAsked.
  void Written(const lease_value& aValue, revision aVersion, time_point aAsked);
  /// A write that had been asked for at aAsked was refused, or its outcome is not known.
  void NotWritten(platform::store_error aError, time_point aAsked, time_point aNow);
  /// Returns the write that gives the lease back, when this process holds it.
  std::optional<lease_step> Resign(time_point aNow);

private:
  [[nodiscard]] bool Lapsed(time_point aNow) const;

  router_id mSelf;
  lease_times mTimes;
  /// Spreads the looks of many processes.
  duration mSpread;
  lease_value mKnown;
  std::optional<revision> mVersion;
  bool mMissing = false;
  /// The newest look was exact, so that a write may build on it.
  bool mExact = false;
  bool mSeen = false;
  /// When this process first saw the present revision.
  time_point mUnchangedSince{ INT64_MIN / 2 };
  time_point mLookAt{ INT64_MIN / 2 };
  std::optional<time_point> mRenewedAt;
  /// When a write was asked for whose outcome is not known.
  std::optional<time_point> mUnsettledSince;
};

} // namespace persimmon::gateway
