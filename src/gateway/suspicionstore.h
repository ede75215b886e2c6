#pragma once

#include "gateway/crashmonitor.h"
#include "gateway/gatewaydialect.h"
#include "gateway/storewatch.h"
#include "poison/suspicionarchive.h"

#include <string>

namespace persimmon::gateway {

/// Kind and name of the stored object with the quarantined requests.
constexpr const char* kSuspicionKind = "gateway-suspicions";
constexpr const char* kSuspicionName = "requests";
/// Time that one watch of the object waits for a change. Longer than for other kinds: the mesh is
/// the usual way of its changes.
constexpr duration kSuspicionPollTimeout = kMaxLongPollTimeout;

/// Keeps quarantines in the platform's store, where they outlast all processes and reach those that
/// the mesh does not. For use on the event loop's thread only.
template<typename Store>
class suspicion_store
{
public:
  suspicion_store(Store& aStore,
                  upstream::upstream_loop& aLoop,
                  metrics_registry& aMetrics,
                  crash_monitor& aCrashes,
                  double aRandom)
    : mStore(aStore)
    , mCrashes(aCrashes)
    , mArchive(aRandom)
    , mWatch(aStore,
             aLoop,
             aMetrics,
             kSuspicionKind,
             watch_options{ kSuspicionPollTimeout },
             MakeHandlers())
  {
  }

  void Start() { mWatch.Start(); }
  void Stop() { mWatch.Stop(); }
  /// Reads the object again after a pause.
  void Restart(duration aPause) { mWatch.Restart(aPause); }
  /// Stores what is missing there. With aUrgent, this process observed it. Call after each change
  /// and about once a second.
  void Update(bool aUrgent);

private:
  [[nodiscard]] watch_handlers MakeHandlers();
  void OnObject(const std::string& aText, std::optional<revision> aVersion);
  void OnWriteDone(std::optional<revision> aVersion, const platform::store_failure& aReason);
  /// Reads the object after a write that may have met another version of it.
  void Reread();

  Store& mStore;
  crash_monitor& mCrashes;
  poison::suspicion_archive mArchive;
  store_watch<Store> mWatch;
};

template<typename Store>
watch_handlers
suspicion_store<Store>::MakeHandlers()
{
  watch_handlers handlers;
  handlers.onList = [this](const platform::object_list& aList) {
    for (const platform::stored_object& object : aList.objects) {
      if (object.key.name == kSuspicionName) {
        OnObject(object.value, object.version);
        return;
      }
    }
    OnObject("", std::nullopt);
  };
  handlers.onChanges = [this](const platform::object_changes& aChanges) {
    for (const platform::object_change& change : aChanges.changes) {
      if (change.key.name == kSuspicionName) {
        OnObject(change.value, change.deleted ? std::nullopt : std::optional(change.version));
      }
    }
  };
  handlers.onAvailability = [](bool) {};
  return handlers;
}

template<typename Store>
void
suspicion_store<Store>::OnObject(const std::string& aText, std::optional<revision> aVersion)
{
  mCrashes.Apply(mArchive.OnRead(aText, aVersion, wall_clock().Now()));
}

template<typename Store>
void
suspicion_store<Store>::Update(bool aUrgent)
{
  const auto write = mArchive.NextWrite(
    mCrashes.LastingEntries(), aUrgent, steady_clock().Now(), wall_clock().Now());
  if (write) {
    mStore.Put({ kSuspicionKind, kSuspicionName },
               write->text,
               { write->expected },
               [this](std::optional<revision> aVersion, const platform::store_failure& aReason) {
                 OnWriteDone(aVersion, aReason);
               });
  }
}

template<typename Store>
void
suspicion_store<Store>::OnWriteDone(std::optional<revision> aVersion,
                                    const platform::store_failure& aReason)
{
  if (aVersion) {
    mArchive.OnWritten(*aVersion);
    Update(false);
    return;
  }
  mArchive.OnWriteFailed(steady_clock().Now());
  WriteLog(kSuspicionWriteFailed,
           { { "reason", platform::StoreErrorName(aReason.code) }, { "detail", aReason.detail } });
  Reread();
}

template<typename Store>
void
suspicion_store<Store>::Reread()
{
  mStore.Get(
    { kSuspicionKind, kSuspicionName },
    false,
    [this](std::optional<platform::stored_object> aObject, const platform::store_failure& aReason) {
      if (aObject) {
        OnObject(aObject->value, aObject->version);
      } else if (aReason.code == platform::store_error::not_found) {
        OnObject("", std::nullopt);
      }
    });
}

} // namespace persimmon::gateway
