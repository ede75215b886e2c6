#pragma once

#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "metrics/metrics.h"

#include <algorithm>
#include <functional>
#include <string>

namespace persimmon::gateway {

/// What a watch tells its owner, on the loop's thread.
struct watch_handlers
{
  /// All objects of the kind; those that are not among them are gone.
  std::function<void(const platform::object_list&)> onList;
  std::function<void(const platform::object_changes&)> onChanges;
  /// The store answers, or no longer does.
  std::function<void(bool aAvailable)> onAvailability;
};

/// Part of the time for noticing a silent store that is kept for the call after the wait.
constexpr duration kLongPollReserve = 1_s;
/// Shortest wait that is worth a call.
constexpr duration kMinLongPollTimeout = 200_ms;

/// Returns how long a watch may wait at the store when silence must be noticed in a time.
constexpr duration
LongPollTimeout(duration aSilenceTimeout)
{
  return std::max(aSilenceTimeout - kLongPollReserve, kMinLongPollTimeout);
}

/// How a watch spends its calls.
struct watch_options
{
  /// Longest time that one call waits at the store.
  duration longPollTimeout = LongPollTimeout(3_s);
  /// Pause after changes, so that several come with one call.
  duration batchDelay{ 150 };
  /// Pauses after calls that failed.
  duration retryDelay{ 150 };
  duration maxRetryDelay{ 1000 };
};

/// Keeps up with one kind of object in the store: a list, then one waiting watch at a time. For
/// use on the loop's thread.
template<typename Store>
class store_watch
{
public:
  store_watch(Store& aStore,
              upstream::upstream_loop& aLoop,
              metrics_registry& aMetrics,
              std::string aKind,
              watch_options aOptions,
              watch_handlers aHandlers)
    : mStore(aStore)
    , mLoop(aLoop)
    , mMetrics(aMetrics)
    , mKind(std::move(aKind))
    , mOptions(aOptions)
    , mHandlers(std::move(aHandlers))
  {
  }

  void Start() { List(); }
  /// Starts no further call.
  void Stop() { mStopped = true; }
  /// Sets the pause after changes.
  void SetBatchDelay(duration aDelay) { mOptions.batchDelay = aDelay; }
  [[nodiscard]] bool IsAvailable() const { return mAvailable; }
  [[nodiscard]] time_point LastResponseAt() const { return mLastResponseAt; }

private:
  void List();
  void Watch();
  void OnFailure(const platform::store_reason& aReason);
  void OnResponse();
  void CountCall(const char* aCall, const platform::store_reason& aReason);
  void Schedule(duration aPause, void (store_watch::*aNext)());

  Store& mStore;
  upstream::upstream_loop& mLoop;
  metrics_registry& mMetrics;
  std::string mKind;
  watch_options mOptions;
  watch_handlers mHandlers;
  revision mRevision;
  bool mListed = false;
  bool mAvailable = false;
  bool mStopped = false;
  std::uint32_t mFailures = 0;
  time_point mLastResponseAt{ INT64_MIN / 2 };
};

template<typename Store>
void
store_watch<Store>::Schedule(duration aPause, void (store_watch::*aNext)())
{
  mLoop.After(aPause, [this, aNext] {
    if (!mStopped) {
      (this->*aNext)();
    }
  });
}

template<typename Store>
void
store_watch<Store>::CountCall(const char* aCall, const platform::store_reason& aReason)
{
  mMetrics.Count(kStoreCalls,
                 { { "kind", mKind },
                   { "call", aCall },
                   { "outcome", platform::StoreErrorName(aReason.code) } });
}

template<typename Store>
void
store_watch<Store>::OnResponse()
{
  mFailures = 0;
  mLastResponseAt = steady_clock().Now();
  if (!mAvailable) {
    mAvailable = true;
    WriteLog(kStoreRegained,
             { { "kind", mKind }, { "revision", std::to_string(mRevision.value) } });
    mHandlers.onAvailability(true);
  }
}

template<typename Store>
void
store_watch<Store>::OnFailure(const platform::store_reason& aReason)
{
  ++mFailures;
  const bool compacted = aReason.code == platform::store_error::compacted;
  // A store that has dropped its history answers; nothing lapsed.
  if (!compacted && (mAvailable || mFailures == 1)) {
    mAvailable = false;
    WriteLog(kStoreLost,
             { { "kind", mKind },
               { "reason", platform::StoreErrorName(aReason.code) },
               { "detail", aReason.detail },
               { "revision", std::to_string(mRevision.value) } });
    mHandlers.onAvailability(false);
  }
  const duration pause = std::min(mOptions.retryDelay * mFailures, mOptions.maxRetryDelay);
  const bool relist = compacted || !mListed;
  Schedule(relist ? mOptions.retryDelay : pause, relist ? &store_watch::List : &store_watch::Watch);
}

template<typename Store>
void
store_watch<Store>::List()
{
  mStore.List(
    mKind,
    [this](std::optional<platform::object_list> aList, const platform::store_reason& aReason) {
      CountCall("list", aReason);
      if (mStopped) {
        return;
      }
      if (!aList) {
        mListed = false;
        OnFailure(aReason);
        return;
      }
      mRevision = aList->asOf;
      mListed = true;
      OnResponse();
      mHandlers.onList(*aList);
      Watch();
    });
}

template<typename Store>
void
store_watch<Store>::Watch()
{
  mStore.Watch(mKind,
               mRevision,
               mOptions.longPollTimeout,
               [this](std::optional<platform::object_changes> aChanges,
                      const platform::store_reason& aReason) {
                 CountCall("watch", aReason);
                 if (mStopped) {
                   return;
                 }
                 if (!aChanges) {
                   OnFailure(aReason);
                   return;
                 }
                 mRevision = std::max(mRevision, aChanges->asOf);
                 OnResponse();
                 const bool hasChanges = !aChanges->changes.empty();
                 if (hasChanges) {
                   mHandlers.onChanges(*aChanges);
                 }
                 if (hasChanges && mOptions.batchDelay.ms > 0) {
                   Schedule(mOptions.batchDelay, &store_watch::Watch);
                 } else {
                   Watch();
                 }
               });
}

} // namespace persimmon::gateway
