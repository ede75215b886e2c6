#include "app/router/platformwatcher.h"

#include "app/router/routerevents.h"
#include "base/clock.h"
#include "base/random.h"
#include "peers/retrybackoff.h"
#include "platform/httpobjectstore.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace persimmon::router {
namespace {

constexpr duration kCallTimeout = 2_s;
constexpr duration kWatchTime = 3_s;
constexpr duration kListInterval = 30_s;
constexpr duration kInstancesInterval = 1_s;
const std::string kDocumentKind = "service";
const std::string kTableKind = "domain";

peers::mesh_message
MessageOf(const platform::object_key& aKey, revision aVersion, const std::string& aValue)
{
  if (aKey.kind == kDocumentKind) {
    return peers::document_message{ { aKey.name }, aVersion, aValue };
  }
  return peers::table_message{ { aKey.name }, aVersion, aValue };
}

} // namespace

struct platform_watcher::implementation
{
  std::string storeUrl;
  watcher_handlers handlers;
  std::mutex mutex;
  std::condition_variable wakeUp;
  bool stopping = false;
  /// Objects that were seen, to notice those that a list no longer has.
  std::map<platform::object_key, revision> known;
  bool listed = false;
  std::thread objects;
  std::thread instances;

  bool Pause(duration aSpan)
  {
    std::unique_lock lock(mutex);
    wakeUp.wait_for(lock, std::chrono::milliseconds(aSpan.ms), [this] { return stopping; });
    return !stopping;
  }

  bool Goes()
  {
    const std::lock_guard lock(mutex);
    return !stopping;
  }

  void Tell(const platform::object_key& aKey, revision aVersion, const std::string& aValue)
  {
    known[aKey] = aVersion;
    handlers.onObject(MessageOf(aKey, aVersion, aValue));
  }

  void TellList(const std::string& aKind, const platform::object_list& aList);
  std::optional<revision> ListAll(platform::http_object_store& aStore);
  bool WatchOnce(platform::http_object_store& aStore, revision& aFrom);
  void FollowObjects();
  void FollowInstances();
};

void
platform_watcher::implementation::TellList(const std::string& aKind,
                                           const platform::object_list& aList)
{
  std::map<platform::object_key, revision> gone;
  for (const auto& [key, version] : known) {
    if (key.kind == aKind && version < aList.asOf) {
      gone.emplace(key, aList.asOf);
    }
  }
  for (const platform::stored_object& object : aList.objects) {
    gone.erase(object.key);
    Tell(object.key, object.version, object.value);
  }
  for (const auto& [key, version] : gone) {
    Tell(key, version, "");
  }
}

std::optional<revision>
platform_watcher::implementation::ListAll(platform::http_object_store& aStore)
{
  std::optional<revision> from;
  for (const std::string& kind : { kDocumentKind, kTableKind }) {
    const auto list = aStore.List(kind);
    if (!list) {
      return std::nullopt;
    }
    TellList(kind, *list);
    from = from ? std::min(*from, list->asOf) : list->asOf;
  }
  listed = true;
  return from;
}

bool
platform_watcher::implementation::WatchOnce(platform::http_object_store& aStore, revision& aFrom)
{
  const auto changes = aStore.Watch({ kDocumentKind, kTableKind }, aFrom, kWatchTime);
  if (!changes) {
    return false;
  }
  for (const platform::object_change& change : changes->changes) {
    Tell(change.key, change.version, change.deleted ? std::string() : change.value);
  }
  aFrom = std::max(aFrom, changes->asOf);
  return true;
}

void
platform_watcher::implementation::FollowObjects()
{
  platform::http_object_store store(storeUrl, kCallTimeout);
  const steady_clock clock;
  random_source random(EntropySeed());
  peers::retry_backoff pause;
  while (Goes()) {
    auto from = ListAll(store);
    if (from) {
      pause.OnSuccess();
    }
    const time_point listedAt = clock.Now();
    handlers.onState(from.has_value(), listed);
    while (from && Goes() && clock.Now() - listedAt < kListInterval) {
      if (!WatchOnce(store, *from)) {
        from.reset();
      }
      handlers.onState(from.has_value(), listed);
    }
    if (!from) {
      WriteLog(kWatchFailed,
               { { "error", platform::StoreErrorName(store.LastFailure().code) },
                 { "detail", store.LastFailure().detail } });
      Pause(pause.OnFailure(random));
    }
  }
}

void
platform_watcher::implementation::FollowInstances()
{
  platform::http_object_store store(storeUrl, kCallTimeout);
  do {
    if (const auto list = store.ListInstances()) {
      handlers.onInstances(*list);
    }
  } while (Pause(kInstancesInterval));
}

platform_watcher::platform_watcher(std::string aStoreUrl, watcher_handlers aHandlers)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->storeUrl = std::move(aStoreUrl);
  mImplementation->handlers = std::move(aHandlers);
  mImplementation->objects = std::thread([this] { mImplementation->FollowObjects(); });
  mImplementation->instances = std::thread([this] { mImplementation->FollowInstances(); });
}

platform_watcher::~platform_watcher()
{
  Stop();
  mImplementation->objects.join();
  mImplementation->instances.join();
}

void
platform_watcher::Stop()
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    mImplementation->stopping = true;
  }
  mImplementation->wakeUp.notify_all();
}

} // namespace persimmon::router
