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
  std::function<void(bool aAnswers)> onState;
};

/// Part of the time for noticing a silent store that is kept for the call after the wait.
constexpr duration kSilenceReserve = 1_s;
/// Shortest wait that is worth a call.
constexpr duration kShortestWait = 200_ms;

/// Returns how long a watch may wait at the store when silence must be noticed in a time.
constexpr duration
WatchWait(duration aSilence)
{
  return std::max(aSilence - kSilenceReserve, kShortestWait);
}

/// How a watch spends its calls.
struct watch_pace
{
  /// Longest time that one call waits at the store.
  duration wait = WatchWait(3_s);
  /// Pause after changes, so that several come with one call.
  duration batch{ 150 };
  /// Pauses after calls that failed.
  duration retry{ 150 };
  duration longestRetry{ 1000 };
};

/// Keeps up with one kind of object in the store: a list, then one waiting watch at a time. For
/// use on the loop's thread.
template<typename Store>
class kind_watch
{
public:
  kind_watch(Store& aStore,
             upstream::upstream_loop& aLoop,
             metrics_registry& aMetrics,
             std::string aKind,
             watch_pace aPace,
             watch_handlers aHandlers)
    : mStore(aStore)
    , mLoop(aLoop)
    , mMetrics(aMetrics)
    , mKind(std::move(aKind))
    , mPace(aPace)
    , mHandlers(std::move(aHandlers))
  {
  }

  void Start() { List(); }
  /// Starts no further call.
  void Stop() { mStopped = true; }
  /// Sets the pause after changes.
  void SetBatch(duration aBatch) { mPace.batch = aBatch; }
  [[nodiscard]] bool Answers() const { return mAnswers; }
  [[nodiscard]] time_point AnsweredAt() const { return mAnsweredAt; }

private:
  void List();
  void Watch();
  void Failed(const platform::store_reason& aReason);
  void Answered();
  void Count(const char* aCall, const platform::store_reason& aReason);
  void Later(duration aPause, void (kind_watch::*aNext)());

  Store& mStore;
  upstream::upstream_loop& mLoop;
  metrics_registry& mMetrics;
  std::string mKind;
  watch_pace mPace;
  watch_handlers mHandlers;
  revision mAt;
  bool mListed = false;
  bool mAnswers = false;
  bool mStopped = false;
  std::uint32_t mFailures = 0;
  time_point mAnsweredAt{ INT64_MIN / 2 };
};

template<typename Store>
void
kind_watch<Store>::Later(duration aPause, void (kind_watch::*aNext)())
{
  mLoop.After(aPause, [this, aNext] {
    if (!mStopped) {
      (this->*aNext)();
    }
  });
}

template<typename Store>
void
kind_watch<Store>::Count(const char* aCall, const platform::store_reason& aReason)
{
  mMetrics.Count(kStoreCalls,
                 { { "kind", mKind },
                   { "call", aCall },
                   { "outcome", platform::StoreErrorName(aReason.code) } });
}

template<typename Store>
void
kind_watch<Store>::Answered()
{
  mFailures = 0;
  mAnsweredAt = steady_clock().Now();
  if (!mAnswers) {
    mAnswers = true;
    WriteLog(kStoreRegained, { { "kind", mKind }, { "revision", std::to_string(mAt.value) } });
    mHandlers.onState(true);
  }
}

template<typename Store>
void
kind_watch<Store>::Failed(const platform::store_reason& aReason)
{
  ++mFailures;
  const bool compacted = aReason.code == platform::store_error::compacted;
  // A store that has dropped its history answers; nothing lapsed.
  if (!compacted && (mAnswers || mFailures == 1)) {
    mAnswers = false;
    WriteLog(kStoreLost,
             { { "kind", mKind },
               { "reason", platform::StoreErrorName(aReason.code) },
               { "detail", aReason.detail },
               { "revision", std::to_string(mAt.value) } });
    mHandlers.onState(false);
  }
  const duration pause = std::min(mPace.retry * mFailures, mPace.longestRetry);
  const bool again = compacted || !mListed;
  Later(again ? mPace.retry : pause, again ? &kind_watch::List : &kind_watch::Watch);
}

template<typename Store>
void
kind_watch<Store>::List()
{
  mStore.List(
    mKind,
    [this](std::optional<platform::object_list> aList, const platform::store_reason& aReason) {
      Count("list", aReason);
      if (mStopped) {
        return;
      }
      if (!aList) {
        mListed = false;
        Failed(aReason);
        return;
      }
      mAt = aList->asOf;
      mListed = true;
      Answered();
      mHandlers.onList(*aList);
      Watch();
    });
}

template<typename Store>
void
kind_watch<Store>::Watch()
{
  mStore.Watch(mKind,
               mAt,
               mPace.wait,
               [this](std::optional<platform::object_changes> aChanges,
                      const platform::store_reason& aReason) {
                 Count("watch", aReason);
                 if (mStopped) {
                   return;
                 }
                 if (!aChanges) {
                   Failed(aReason);
                   return;
                 }
                 mAt = std::max(mAt, aChanges->asOf);
                 Answered();
                 const bool any = !aChanges->changes.empty();
                 if (any) {
                   mHandlers.onChanges(*aChanges);
                 }
                 if (any && mPace.batch.ms > 0) {
                   Later(mPace.batch, &kind_watch::Watch);
                 } else {
                   Watch();
                 }
               });
}

} // namespace persimmon::gateway
