#pragma once

#include "base/hash.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "metrics/metrics.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Callbacks of a watch; they run on the event loop's thread.
struct watch_handlers
{
  /// Receives all objects of the kind; objects that are not listed do not exist.
  std::function<void(const platform::object_list&)> onList;
  /// Receives the changes since the list or the previous call.
  std::function<void(const platform::object_changes&)> onChanges;
  /// Called when the store becomes available or unavailable.
  std::function<void(bool aAvailable)> onAvailability;
  /// Called after each response, once its changes have been passed on, with the revision up to
  /// which all changes have been received; may be empty.
  std::function<void(revision aUpTo)> onRead{};
};

/// Part of the silence timeout that is left for the call itself after the long poll.
constexpr duration kLongPollReserve = 1_s;
/// Longest time that a call may wait in the store.
constexpr duration kMaxLongPollTimeout = 30_s;
/// Shortest long poll that justifies a call.
constexpr duration kMinLongPollTimeout = 200_ms;

/// Returns how long one watch call may wait in the store so that a silent store is detected within
/// aSilenceTimeout.
constexpr duration
LongPollTimeout(duration aSilenceTimeout)
{
  return std::max(aSilenceTimeout - kLongPollReserve, kMinLongPollTimeout);
}

/// Timing of a watch's calls to the store.
struct watch_options
{
  /// Longest time that one call waits in the store for changes.
  duration longPollTimeout = LongPollTimeout(3_s);
  /// Pause after changes, so that one call returns several of them.
  duration batchDelay{ 150 };
  /// Pause after the first failed call; it grows linearly with consecutive failures up to the
  /// maximum.
  duration retryDelay{ 150 };
  duration maxRetryDelay{ 1000 };
  /// Returns the pause before a list in place of a watch whose response this process cannot take.
  /// Others fail at about the same time, so each lists at a time of its own.
  std::function<duration()> relistPause = [] { return duration{ 150 }; };
};

/// Failures in a row by the same response of a watch, after which the objects are listed instead.
constexpr std::uint32_t kMaxUnreadableResponses = 2;

/// Follows all objects of one kind in the store: one list call, then consecutive long polls. For
/// use on the event loop's thread only.
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
    , mOptions(std::move(aOptions))
    , mHandlers(std::move(aHandlers))
  {
  }

  void Start() { List(); }
  /// Starts no further calls and ignores the result of a pending one.
  void Stop() { mStopped = true; }
  /// Lists all objects again after a pause, since what is known may not be what the store has now.
  /// Ignores the result of a pending call. The store counts as unavailable until then.
  void Restart(duration aPause);
  /// Sets how long to wait before a list in place of a watch that cannot be read.
  void SetRelistPause(std::function<duration()> aPause)
  {
    mOptions.relistPause = std::move(aPause);
  }
  /// Sets the pause after changes.
  void SetBatchDelay(duration aDelay) { mOptions.batchDelay = aDelay; }
  /// Sets the longest time that later calls wait in the store for changes.
  void SetLongPollTimeout(duration aTimeout) { mOptions.longPollTimeout = aTimeout; }
  /// While resting, no call follows one that has succeeded: others tell this process of changes.
  void SetResting(bool aIsResting);
  /// All changes up to a revision have been received from others.
  void AdvanceTo(revision aUpTo) { mRevision = std::max(mRevision, aUpTo); }
  /// Starts another call in place of one that has waited for aAge, since its connection may be
  /// silent; does nothing before the first list.
  void RenewCall(duration aAge);
  /// Returns the revision up to which all changes have been received.
  [[nodiscard]] revision Revision() const { return mRevision; }
  /// Returns whether the store responded to the latest call; a compacted history counts as a
  /// response.
  [[nodiscard]] bool IsAvailable() const { return mAvailable; }
  /// Time of the latest successful call; far in the past before the first.
  [[nodiscard]] time_point LastResponseAt() const { return mLastResponseAt; }

private:
  void List();
  void Watch();
  void MarkUnavailable(const platform::store_failure& aReason);
  /// Returns whether the watch would get a response again that this process cannot take.
  [[nodiscard]] bool IsUnreadable(platform::store_error aError);
  void OnFailure(const platform::store_failure& aReason);
  void OnResponse();
  void CountCall(const char* aCall, const platform::store_failure& aReason);
  /// Logs and counts the objects without a name, each text once.
  void ReportUnnamed(const std::vector<std::string>& aTexts);
  void Schedule(duration aPause, void (store_watch::*aNext)());
  /// Passes the revision on that a response has reached.
  void NotifyRead();
  /// Watches again after a pause, unless the watch rests.
  void Continue(duration aPause);

  Store& mStore;
  upstream::upstream_loop& mLoop;
  metrics_registry& mMetrics;
  std::string mKind;
  watch_options mOptions;
  watch_handlers mHandlers;
  /// Revision up to which all changes have been received.
  revision mRevision;
  bool mListed = false;
  bool mAvailable = false;
  bool mStopped = false;
  bool mIsResting = false;
  /// No call is pending or scheduled, since the watch rests.
  bool mIsIdle = false;
  /// Start of the latest watch call.
  time_point mCalledAt{ INT64_MIN / 2 };
  /// Number of restarts; a call or timer of an earlier run is ignored.
  std::uint64_t mRun = 0;
  /// Number of consecutive responses of a watch that were invalid.
  std::uint32_t mUnreadable = 0;
  /// Number of consecutive failed calls.
  std::uint32_t mFailures = 0;
  time_point mLastResponseAt{ INT64_MIN / 2 };
  /// Most texts that are remembered as reported.
  static constexpr std::size_t kMaxReportedUnnamed = 1024;
  /// Hashes of the texts that ReportUnnamed() has reported.
  std::set<std::uint64_t> mReportedUnnamed;
};

template<typename Store>
void
store_watch<Store>::Schedule(duration aPause, void (store_watch::*aNext)())
{
  mLoop.After(aPause, [this, aNext, run = mRun] {
    if (!mStopped && run == mRun) {
      (this->*aNext)();
    }
  });
}

template<typename Store>
void
store_watch<Store>::NotifyRead()
{
  if (mHandlers.onRead) {
    mHandlers.onRead(mRevision);
  }
}

template<typename Store>
void
store_watch<Store>::Continue(duration aPause)
{
  if (mIsResting) {
    mIsIdle = true;
  } else if (aPause.ms > 0) {
    Schedule(aPause, &store_watch::Watch);
  } else {
    Watch();
  }
}

template<typename Store>
void
store_watch<Store>::SetResting(bool aIsResting)
{
  mIsResting = aIsResting;
  if (!mIsResting && std::exchange(mIsIdle, false) && !mStopped) {
    Watch();
  }
}

template<typename Store>
void
store_watch<Store>::RenewCall(duration aAge)
{
  if (mListed && !mStopped && !mIsIdle && steady_clock().Now() - mCalledAt >= aAge) {
    ++mRun;
    Watch();
  }
}

template<typename Store>
void
store_watch<Store>::CountCall(const char* aCall, const platform::store_failure& aReason)
{
  mMetrics.Count(kStoreCalls,
                 { { "kind", mKind },
                   { "call", aCall },
                   { "outcome", platform::StoreErrorName(aReason.code) } });
}

template<typename Store>
void
store_watch<Store>::ReportUnnamed(const std::vector<std::string>& aTexts)
{
  for (const std::string& text : aTexts) {
    if (mReportedUnnamed.size() < kMaxReportedUnnamed &&
        mReportedUnnamed.insert(HashText(text)).second) {
      mMetrics.Count(kUnnamedObjects, { { "kind", mKind } });
      WriteLog(kObjectUnnamed, { { "kind", mKind }, { "text", text } });
    }
  }
}

template<typename Store>
void
store_watch<Store>::OnResponse()
{
  mFailures = 0;
  mUnreadable = 0;
  mLastResponseAt = steady_clock().Now();
  if (!mAvailable) {
    mAvailable = true;
    WriteLog(kStoreRegained,
             { { "kind", mKind }, { "revision", platform::RevisionText(mRevision) } });
    mHandlers.onAvailability(true);
  }
}

template<typename Store>
void
store_watch<Store>::MarkUnavailable(const platform::store_failure& aReason)
{
  mAvailable = false;
  WriteLog(kStoreLost,
           { { "kind", mKind },
             { "reason", platform::StoreErrorName(aReason.code) },
             { "detail", aReason.detail },
             { "revision", platform::RevisionText(mRevision) } });
  mHandlers.onAvailability(false);
}

template<typename Store>
void
store_watch<Store>::Restart(duration aPause)
{
  ++mRun;
  mListed = false;
  mIsIdle = false;
  MarkUnavailable({ platform::store_error::compacted, "the store came back from an older copy" });
  Schedule(aPause, &store_watch::List);
}

template<typename Store>
bool
store_watch<Store>::IsUnreadable(platform::store_error aError)
{
  const bool isInvalid = aError == platform::store_error::bad_answer;
  mUnreadable = isInvalid ? mUnreadable + 1 : 0;
  return aError == platform::store_error::too_large || mUnreadable >= kMaxUnreadableResponses;
}

template<typename Store>
void
store_watch<Store>::OnFailure(const platform::store_failure& aReason)
{
  ++mFailures;
  if (mListed && IsUnreadable(aReason.code)) {
    mListed = false;
    mMetrics.Count(kStoreRelists,
                   { { "kind", mKind }, { "cause", platform::StoreErrorName(aReason.code) } });
    WriteLog(kStoreListedAnew,
             { { "kind", mKind },
               { "cause", platform::StoreErrorName(aReason.code) },
               { "revision", platform::RevisionText(mRevision) } });
    Schedule(mOptions.relistPause(), &store_watch::List);
    return;
  }
  const bool compacted = aReason.code == platform::store_error::compacted;
  // A compacted history means that the store is available: no registration expired.
  if (!compacted && (mAvailable || mFailures == 1)) {
    MarkUnavailable(aReason);
  }
  const duration pause = std::min(mOptions.retryDelay * mFailures, mOptions.maxRetryDelay);
  const bool relist = compacted || !mListed;
  Schedule(relist ? mOptions.retryDelay : pause, relist ? &store_watch::List : &store_watch::Watch);
}

template<typename Store>
void
store_watch<Store>::List()
{
  mStore.List(mKind,
              [this, run = mRun](std::optional<platform::object_list> aList,
                                 const platform::store_failure& aReason) {
                CountCall("list", aReason);
                if (mStopped || run != mRun) {
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
                ReportUnnamed(aList->unnamed);
                mHandlers.onList(*aList);
                NotifyRead();
                Continue({});
              });
}

template<typename Store>
void
store_watch<Store>::Watch()
{
  mCalledAt = steady_clock().Now();
  mStore.Watch(mKind,
               mRevision,
               mOptions.longPollTimeout,
               [this, run = mRun](std::optional<platform::object_changes> aChanges,
                                  const platform::store_failure& aReason) {
                 CountCall("watch", aReason);
                 if (mStopped || run != mRun) {
                   return;
                 }
                 if (!aChanges) {
                   OnFailure(aReason);
                   return;
                 }
                 mRevision = std::max(mRevision, aChanges->asOf);
                 OnResponse();
                 ReportUnnamed(aChanges->unnamed);
                 const bool hasChanges = !aChanges->changes.empty();
                 if (hasChanges) {
                   mHandlers.onChanges(*aChanges);
                 }
                 NotifyRead();
                 Continue(hasChanges ? mOptions.batchDelay : duration{});
               });
}

} // namespace persimmon::gateway
