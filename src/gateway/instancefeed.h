#pragma once

#include "base/text.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/instanceregistry.h"
#include "gateway/storewatch.h"
#include "peers/messages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Collects changes of the registered instances from this process's watch of the store and from
/// other gateways, and publishes the changes that it receives from the store first. For use on the
/// event loop's thread only.
template<gateway_dialect Dialect>
class instance_feed
{
public:
  using store = typename Dialect::store;

  instance_feed(store& aStore,
                upstream::upstream_loop& aLoop,
                metrics_registry& aMetrics,
                fleet::fleet_view& aView,
                duration aLongPollTimeout)
    : mMetrics(aMetrics)
    , mRegistry(aView)
    , mWatch(aStore,
             aLoop,
             aMetrics,
             Dialect::kInstanceKind,
             watch_options{ aLongPollTimeout },
             MakeHandlers())
  {
  }

  /// Called with a change to publish to the other gateways.
  std::function<void(const peers::document_message&)> onNewChange;
  /// Called after each response of the store, once its changes have been published, with the
  /// revision up to which all changes are known.
  std::function<void(revision aUpTo)> onRead;

  void Start() { mWatch.Start(); }
  void Stop() { mWatch.Stop(); }
  /// Lists the instances again after a pause.
  void Restart(duration aPause) { mWatch.Restart(aPause); }
  /// Sets the pause of the watch after changes.
  void SetBatchDelay(duration aDelay) { mWatch.SetBatchDelay(aDelay); }
  /// See store_watch.
  void SetRelistPause(std::function<duration()> aPause)
  {
    mWatch.SetRelistPause(std::move(aPause));
  }
  void SetResting(bool aIsResting) { mWatch.SetResting(aIsResting); }
  void SetLongPollTimeout(duration aTimeout) { mWatch.SetLongPollTimeout(aTimeout); }
  void AdvanceTo(revision aUpTo) { mWatch.AdvanceTo(aUpTo); }
  [[nodiscard]] revision Revision() const { return mWatch.Revision(); }

  /// Returns whether a mesh document describes an instance.
  [[nodiscard]] static bool IsInstanceDocument(const peers::document_message& aDocument);
  /// Applies an instance document of another gateway. Returns whether it changed what is known.
  bool ApplyPeerDocument(const peers::document_message& aDocument);
  /// Returns whether instances have changed since the last call, after removing entries whose
  /// retention has ended.
  bool TakeChangedFlag();

private:
  [[nodiscard]] watch_handlers MakeHandlers();
  /// Decodes an entry of the store; an empty text means that the entry was removed.
  [[nodiscard]] instance_change DecodeChange(const std::string& aName,
                                             revision aVersion,
                                             const std::string& aText);
  /// Logs an entry that names no usable instance, once for each of its versions.
  void RecordUnusable(const std::string& aName, revision aVersion, const json_problem& aProblem);
  /// Forgets the entries that are not in a list.
  void ForgetUnlisted(const platform::object_list& aList);
  void ReportUnusable() const;
  void Publish(const instance_change& aChange, const std::string& aText);
  /// Publishes the ends of instances that only a list has shown.
  void PublishListedEnds();
  void ApplyList(const platform::object_list& aList);
  void ApplyChange(const platform::object_change& aChange);

  /// Most unusable entries that are remembered; more of them are not logged.
  static constexpr std::size_t kMaxUnusable = 4096;
  static constexpr std::size_t kMaxLoggedNameBytes = 100;
  static constexpr std::size_t kMaxLoggedProblemBytes = 200;
  /// What peers are told of an entry that names no usable instance, whatever its text.
  static constexpr const char* kUnusableText = "null";

  metrics_registry& mMetrics;
  instance_registry mRegistry;
  /// Registered entries that name no usable instance, with their versions.
  std::map<std::string, revision> mUnusable;
  bool mChanged = false;
  store_watch<store> mWatch;
};

template<gateway_dialect Dialect>
watch_handlers
instance_feed<Dialect>::MakeHandlers()
{
  watch_handlers handlers;
  handlers.onList = [this](const platform::object_list& aList) { ApplyList(aList); };
  handlers.onChanges = [this](const platform::object_changes& aChanges) {
    for (const platform::object_change& object : aChanges.changes) {
      ApplyChange(object);
    }
  };
  handlers.onAvailability = [this](bool aAvailable) {
    if (aAvailable) {
      mRegistry.OnStoreRecovered(steady_clock().Now());
    } else {
      mRegistry.OnStoreLost(steady_clock().Now());
    }
  };
  handlers.onRead = [this](revision aUpTo) {
    if (onRead) {
      onRead(aUpTo);
    }
  };
  return handlers;
}

template<gateway_dialect Dialect>
instance_change
instance_feed<Dialect>::DecodeChange(const std::string& aName,
                                     revision aVersion,
                                     const std::string& aText)
{
  if (aText.empty()) {
    mUnusable.erase(aName);
    return { { aName }, aVersion, std::nullopt };
  }
  json_problem problem;
  auto entry = Dialect::ParseInstance(aName, aText, problem);
  if (entry) {
    mUnusable.erase(aName);
  } else {
    RecordUnusable(aName, aVersion, problem);
  }
  return { { aName }, aVersion, std::move(entry) };
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::RecordUnusable(const std::string& aName,
                                       revision aVersion,
                                       const json_problem& aProblem)
{
  const auto known = mUnusable.find(aName);
  const bool isTold = known != mUnusable.end() && known->second >= aVersion;
  if (isTold || (known == mUnusable.end() && mUnusable.size() >= kMaxUnusable)) {
    return;
  }
  mUnusable[aName] = aVersion;
  WriteLog(kEntrySkipped,
           { { "entry", PrintableExcerpt(aName, kMaxLoggedNameBytes) },
             { "revision", platform::RevisionText(aVersion) },
             { "problem", PrintableExcerpt(aProblem.Text(), kMaxLoggedProblemBytes) } });
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::ForgetUnlisted(const platform::object_list& aList)
{
  std::set<std::string> listed;
  for (const platform::stored_object& object : aList.objects) {
    listed.insert(object.key.name);
  }
  std::erase_if(mUnusable, [&](const auto& aEntry) { return !listed.contains(aEntry.first); });
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::ReportUnusable() const
{
  mMetrics.Set(kUnusableEntries, static_cast<double>(mUnusable.size()));
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::Publish(const instance_change& aChange, const std::string& aText)
{
  if (onNewChange) {
    // Everybody has to stop calls to an instance soon after it has announced its departure or
    // ended.
    const bool isDeparture = !aChange.entry || aChange.entry->draining;
    const bool isUnusable = !aChange.entry && !aText.empty();
    onNewChange({ { std::string(kInstanceDocumentPrefix) + aChange.id.value },
                  aChange.version,
                  isUnusable ? kUnusableText : aText,
                  isDeparture });
  }
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::PublishListedEnds()
{
  for (const instance_change& change : mRegistry.TakeListedEnds()) {
    Publish(change, "");
  }
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::ApplyList(const platform::object_list& aList)
{
  std::vector<instance_change> listed;
  std::map<instance_id, const std::string*> texts;
  for (const platform::stored_object& object : aList.objects) {
    listed.push_back(DecodeChange(object.key.name, object.version, object.value));
    texts[listed.back().id] = &object.value;
  }
  for (const instance_change& change :
       mRegistry.ApplyList(listed, aList.asOf, steady_clock().Now())) {
    Publish(change, *texts.at(change.id));
  }
  PublishListedEnds();
  ForgetUnlisted(aList);
  ReportUnusable();
  mChanged = true;
}

template<gateway_dialect Dialect>
void
instance_feed<Dialect>::ApplyChange(const platform::object_change& aChange)
{
  // A deletion carries the revision of the object's last change, so its version must be one higher.
  const revision version{ aChange.version.value + (aChange.deleted ? 1 : 0) };
  const std::string text = aChange.deleted ? std::string() : aChange.value;
  const instance_change change = DecodeChange(aChange.key.name, version, text);
  if (mRegistry.ApplyChange(change, change_source::store, steady_clock().Now())) {
    Publish(change, text);
  }
  ReportUnusable();
  mChanged = true;
}

template<gateway_dialect Dialect>
bool
instance_feed<Dialect>::IsInstanceDocument(const peers::document_message& aDocument)
{
  return aDocument.service.value.starts_with(kInstanceDocumentPrefix);
}

template<gateway_dialect Dialect>
bool
instance_feed<Dialect>::ApplyPeerDocument(const peers::document_message& aDocument)
{
  const std::string name = aDocument.service.value.substr(kInstanceDocumentPrefix.size());
  const instance_change change = DecodeChange(name, aDocument.version, aDocument.text);
  const bool applied = mRegistry.ApplyChange(change, change_source::peer, steady_clock().Now());
  ReportUnusable();
  mChanged = mChanged || applied;
  return applied;
}

template<gateway_dialect Dialect>
bool
instance_feed<Dialect>::TakeChangedFlag()
{
  const bool expired = mRegistry.RemoveExpired(steady_clock().Now());
  PublishListedEnds();
  return std::exchange(mChanged, false) || expired;
}

} // namespace persimmon::gateway
