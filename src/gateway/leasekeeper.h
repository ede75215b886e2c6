#pragma once

#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/leaserules.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace persimmon::gateway {

/// Holds the lease to form groups, or waits for it. What is decided stands in lease_rules; this
/// carries it to the store. For use on the loop's thread.
template<typename Store>
class lease_keeper
{
public:
  lease_keeper(Store& aStore, upstream::upstream_loop& aLoop, lease_rules aRules)
    : mStore(aStore)
    , mLoop(aLoop)
    , mRules(std::move(aRules))
  {
  }

  /// Called whenever the lease is taken or lost.
  std::function<void()> onChange;

  void Start() { Tick(); }
  /// Gives the lease back and asks for it no more.
  void Stop();
  [[nodiscard]] bool Holds() const { return mRules.Holds(boot_clock().Now()); }
  [[nodiscard]] fencing_token Token() const { return mRules.Token(); }

private:
  void Tick();
  void Read(bool aCheap);
  void Write(const lease_value& aValue, std::optional<revision> aExpected);
  void TellChange();

  Store& mStore;
  upstream::upstream_loop& mLoop;
  lease_rules mRules;
  bool mTold = false;
  bool mBusy = false;
  bool mStopped = false;
};

template<typename Store>
void
lease_keeper<Store>::TellChange()
{
  const bool holds = Holds();
  if (holds == mTold) {
    return;
  }
  mTold = holds;
  WriteLog(holds ? kLeaseTaken : kLeaseLost,
           { { "token", std::to_string(Token().value) },
             { "holder", mRules.Self().value },
             { "known_holder", mRules.Holder().value } });
  if (onChange) {
    onChange();
  }
}

template<typename Store>
void
lease_keeper<Store>::Tick()
{
  if (mStopped) {
    return;
  }
  const time_point now = boot_clock().Now();
  TellChange();
  const lease_step step = mBusy ? lease_step{} : mRules.Next(now);
  switch (step.what) {
    case lease_step::kind::none:
      break;
    case lease_step::kind::read_cheap:
      Read(true);
      break;
    case lease_step::kind::read:
      Read(false);
      break;
    case lease_step::kind::write:
      Write(step.value, step.expected);
      break;
  }
  mLoop.After(kLeaseTick, [this] { Tick(); });
}

template<typename Store>
void
lease_keeper<Store>::Read(bool aCheap)
{
  mBusy = true;
  mStore.Get({ kLeaseKind, kLeaseName },
             aCheap,
             [this, aCheap](std::optional<platform::stored_object> aObject,
                            const platform::store_reason& aReason) {
               mBusy = false;
               const time_point now = boot_clock().Now();
               if (aObject) {
                 mRules.Seen(ParseLease(aObject->value), aObject->version, aCheap, now);
               } else if (aReason.code == platform::store_error::not_found) {
                 mRules.SeenMissing(aCheap, now);
               } else {
                 mRules.NotRead(now);
               }
               TellChange();
             });
}

template<typename Store>
void
lease_keeper<Store>::Write(const lease_value& aValue, std::optional<revision> aExpected)
{
  mBusy = true;
  const time_point asked = boot_clock().Now();
  mStore.Put(
    { kLeaseKind, kLeaseName },
    RenderLease(aValue),
    { aExpected },
    [this, aValue, asked](std::optional<revision> aVersion, const platform::store_reason& aReason) {
      mBusy = false;
      const time_point now = boot_clock().Now();
      if (aVersion) {
        mRules.Written(aValue, *aVersion, asked);
      } else {
        WriteLog(kLeaseWriteFailed,
                 { { "reason", platform::StoreErrorName(aReason.code) },
                   { "detail", aReason.detail },
                   { "token", std::to_string(aValue.token.value) } });
        mRules.NotWritten(aReason.code, asked, now);
      }
      TellChange();
    });
}

template<typename Store>
void
lease_keeper<Store>::Stop()
{
  mStopped = true;
  if (const auto last = mRules.Resign(boot_clock().Now())) {
    mStore.Put({ kLeaseKind, kLeaseName },
               RenderLease(last->value),
               { last->expected },
               [](const auto&, const auto&) {});
  }
  TellChange();
}

} // namespace persimmon::gateway
