#pragma once

#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/instancekeeper.h"
#include "gateway/kindwatch.h"
#include "peers/messages.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Prefix of an instance's name among the mesh's documents.
constexpr std::string_view kInstanceDocument = "instance/";

/// Hears of the registered instances from the own watch of the store and from other gateways, and
/// tells them what it hears first. For use on the loop's thread.
template<gateway_dialect Dialect>
class instance_feed
{
public:
  using store = typename Dialect::store;

  instance_feed(store& aStore,
                upstream::upstream_loop& aLoop,
                metrics_registry& aMetrics,
                fleet::fleet_view& aView,
                duration aWait)
    : mKeeper(aView)
    , mWatch(aStore, aLoop, aMetrics, Dialect::kInstanceKind, watch_pace{ aWait }, Handlers())
  {
  }

  /// Called with what other gateways should hear.
  std::function<void(const peers::document_message&)> onNews;

  void Start() { mWatch.Start(); }
  void Stop() { mWatch.Stop(); }
  void SetBatch(duration aBatch) { mWatch.SetBatch(aBatch); }
  [[nodiscard]] time_point AnsweredAt() const { return mWatch.AnsweredAt(); }

  /// True when a document tells of an instance.
  [[nodiscard]] static bool Concerns(const peers::document_message& aDocument);
  void TakeFromPeer(const peers::document_message& aDocument);
  /// True when instances have changed since the last call.
  bool TakeChanged();

private:
  [[nodiscard]] watch_handlers Handlers();
  [[nodiscard]] static instance_change Read(const std::string& aName,
                                            revision aVersion,
                                            const std::string& aText);
  void Tell(const instance_change& aChange, const std::string& aText);
  void TakeList(const platform::object_list& aList);
  void TakeChange(const platform::object_change& aChange);

  instance_keeper mKeeper;
  bool mChanged = false;
  kind_watch<store> mWatch;
};

template<gateway_dialect Dialect>
watch_handlers
instance_feed<Dialect>::Handlers()
{
  watch_handlers handlers;
  handlers.onList = [this](const platform::object_list& aList) { TakeList(aList); };
  handlers.onChanges = [this](const platform::object_changes& aChanges) {
    for (const platform::object_change& one : aChanges.changes) {
      TakeChange(one);
    }
  };
  handlers.onState = [this](bool aAnswers) {
    if (aAnswers) {
      mKeeper.StoreReturned(steady_clock().Now());
    } else {
      mKeeper.StoreLost();
    }
  };
  return handlers;
}

template<gateway_dialect Dialect>
instance_change
instance_feed<Dialect>::Read(const std::string& aName, revision aVersion, const std::string& aText)
{
  if (aText.empty()) {
    return { { aName }, aVersion, std::nullopt };
  }
  json_problem problem;
  auto entry = Dialect::ReadInstance(aName, aText, problem);
  if (!entry) {
    WriteLog(kEntrySkipped, { { "entry", aName }, { "problem", problem.Text() } });
  }
  return { { aName }, aVersion, std::move(entry) };
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::Tell(const instance_change& aChange, const std::string& aText)
{
  if (onNews) {
    onNews({ { std::string(kInstanceDocument) + aChange.id.value }, aChange.at, aText });
  }
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::TakeList(const platform::object_list& aList)
{
  std::vector<instance_change> listed;
  std::map<instance_id, const std::string*> texts;
  for (const platform::stored_object& one : aList.objects) {
    listed.push_back(Read(one.key.name, one.version, one.value));
    texts[listed.back().id] = &one.value;
  }
  for (const instance_change& news : mKeeper.Replace(listed, aList.asOf, steady_clock().Now())) {
    Tell(news, *texts.at(news.id));
  }
  mChanged = true;
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::TakeChange(const platform::object_change& aChange)
{
  // A removed object comes with the revision of its last change.
  const revision at{ aChange.version.value + (aChange.deleted ? 1 : 0) };
  const std::string text = aChange.deleted ? std::string() : aChange.value;
  const instance_change change = Read(aChange.key.name, at, text);
  if (mKeeper.Take(change, change_source::store, steady_clock().Now())) {
    Tell(change, text);
  }
  mChanged = true;
}

template<gateway_dialect Dialect>
bool
instance_feed<Dialect>::Concerns(const peers::document_message& aDocument)
{
  return aDocument.service.value.starts_with(kInstanceDocument);
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::TakeFromPeer(const peers::document_message& aDocument)
{
  const std::string name = aDocument.service.value.substr(kInstanceDocument.size());
  const instance_change change = Read(name, aDocument.version, aDocument.text);
  if (mKeeper.Take(change, change_source::peer, steady_clock().Now())) {
    mChanged = true;
  }
}

template<gateway_dialect Dialect>
bool
instance_feed<Dialect>::TakeChanged()
{
  const bool expired = mKeeper.Expire(steady_clock().Now());
  return std::exchange(mChanged, false) || expired;
}

} // namespace persimmon::gateway
