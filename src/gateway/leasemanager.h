#pragma once

#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/leasestatemachine.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace persimmon::gateway {

/// Acquires, renews and releases the assembly lease: executes the store calls that
/// lease_state_machine decides on. For use on the event loop's thread only.
template<typename Store>
class lease_manager
{
public:
  lease_manager(Store& aStore, upstream::upstream_loop& aLoop, lease_state_machine aState)
    : mStore(aStore)
    , mLoop(aLoop)
    , mState(std::move(aState))
  {
  }

  /// Called whenever this process acquires or loses the lease.
  std::function<void()> onChange;

  void Start() { Tick(); }
  /// Sets whether this process reads the lease and tries to acquire it; one that holds it goes on.
  void SetCandidate(bool aIsCandidate) { mIsCandidate = aIsCandidate; }
  /// The store came back from an older copy.
  void OnEraChange(platform::store_era aEra)
  {
    mState.OnEra(aEra, boot_clock().Now());
    NotifyChange();
  }
  /// Stops acting as the holder and trying to acquire the lease, and keeps it from others.
  void StopActing();
  /// Releases the lease, so that another process may act at once; to be called after StopActing(),
  /// when nothing that this process has ordered is under way any more.
  void Release();
  /// Returns whether this process may act as the holder now.
  [[nodiscard]] bool IsHolder() const { return !mStopped && mState.IsHolder(boot_clock().Now()); }
  /// Fencing token of the lease as last read or written.
  [[nodiscard]] fencing_token Token() const { return mState.Token(); }

private:
  void Tick();
  void Read(bool aAllowStale);
  void Write(const lease_value& aValue, std::optional<revision> aExpected);
  /// Logs and reports an acquisition or loss since the last call.
  void NotifyChange();

  Store& mStore;
  upstream::upstream_loop& mLoop;
  lease_state_machine mState;
  /// Value of IsHolder() that was last reported through onChange.
  bool mNotifiedHolder = false;
  bool mRequestPending = false;
  bool mIsCandidate = true;
  bool mStopped = false;
};

template<typename Store>
void
lease_manager<Store>::NotifyChange()
{
  const bool isHolder = IsHolder();
  if (isHolder == mNotifiedHolder) {
    return;
  }
  mNotifiedHolder = isHolder;
  WriteLog(isHolder ? kLeaseTaken : kLeaseLost,
           { { "token", std::to_string(Token().value) },
             { "holder", mState.Self().value },
             { "known_holder", mState.Holder().value } });
  if (onChange) {
    onChange();
  }
}

template<typename Store>
void
lease_manager<Store>::Tick()
{
  if (mStopped) {
    return;
  }
  const time_point now = boot_clock().Now();
  NotifyChange();
  const bool mayAct = mIsCandidate || mState.IsHolder(now);
  const lease_step step = mRequestPending || !mayAct ? lease_step{} : mState.NextStep(now);
  switch (step.action) {
    case lease_step::action_kind::none:
      break;
    case lease_step::action_kind::read_stale_ok:
      Read(true);
      break;
    case lease_step::action_kind::read:
      Read(false);
      break;
    case lease_step::action_kind::write:
      Write(step.value, step.expected);
      break;
  }
  mLoop.After(kLeaseTickInterval, [this] { Tick(); });
}

template<typename Store>
void
lease_manager<Store>::Read(bool aAllowStale)
{
  mRequestPending = true;
  mStore.Get({ kLeaseKind, kLeaseName },
             aAllowStale,
             [this, aAllowStale](std::optional<platform::stored_object> aObject,
                                 const platform::store_failure& aReason) {
               mRequestPending = false;
               const time_point now = boot_clock().Now();
               if (aObject) {
                 mState.OnRead(ParseLease(aObject->value), aObject->version, aAllowStale, now);
               } else if (aReason.code == platform::store_error::not_found) {
                 mState.OnMissing(aAllowStale, now);
               } else {
                 mState.OnReadFailed(now);
               }
               NotifyChange();
             });
}

template<typename Store>
void
lease_manager<Store>::Write(const lease_value& aValue, std::optional<revision> aExpected)
{
  mRequestPending = true;
  const time_point requestedAt = boot_clock().Now();
  mStore.Put({ kLeaseKind, kLeaseName },
             SerializeLease(aValue),
             { aExpected },
             [this, aValue, requestedAt](std::optional<revision> aVersion,
                                         const platform::store_failure& aReason) {
               mRequestPending = false;
               const time_point now = boot_clock().Now();
               if (aVersion) {
                 mState.OnWritten(aValue, *aVersion, requestedAt);
               } else {
                 WriteLog(kLeaseWriteFailed,
                          { { "reason", platform::StoreErrorName(aReason.code) },
                            { "detail", aReason.detail },
                            { "token", std::to_string(aValue.token.value) } });
                 mState.OnWriteFailed(aReason.code, requestedAt, now);
               }
               NotifyChange();
             });
}

template<typename Store>
void
lease_manager<Store>::StopActing()
{
  mStopped = true;
  NotifyChange();
}

template<typename Store>
void
lease_manager<Store>::Release()
{
  if (const auto last = mState.Release(boot_clock().Now())) {
    mStore.Put({ kLeaseKind, kLeaseName },
               SerializeLease(last->value),
               { last->expected },
               [](const auto&, const auto&) {});
  }
}

} // namespace persimmon::gateway
