#pragma once

#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/storewatch.h"
#include "gateway/zoneevacuations.h"
#include "peers/messages.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Learns which availability zones are emptied from this process's watch of the store and from
/// other gateways, and tells the others what it hears first. For use on the event loop's thread
/// only.
template<gateway_dialect Dialect>
class evacuation_feed
{
public:
  using store = typename Dialect::store;

  evacuation_feed(store& aStore,
                  upstream::upstream_loop& aLoop,
                  metrics_registry& aMetrics,
                  duration aLongPollTimeout)
    : mMetrics(aMetrics)
    , mWatch(aStore,
             aLoop,
             aMetrics,
             Dialect::kEvacuationKind,
             watch_options{ aLongPollTimeout, kEvacuationBatchDelay },
             MakeHandlers())
  {
  }

  /// Called with a change to tell the other gateways.
  std::function<void(const peers::document_message&)> onNewChange;
  /// Called when other zones are emptied than before.
  std::function<void(std::set<zone_name>)> onChange;

  void Start() { mWatch.Start(); }
  void Stop() { mWatch.Stop(); }
  /// Lists again after a pause.
  void Restart(duration aPause) { mWatch.Restart(aPause); }
  void SetRelistPause(std::function<duration()> aPause)
  {
    mWatch.SetRelistPause(std::move(aPause));
  }
  void SetLongPollTimeout(duration aTimeout) { mWatch.SetLongPollTimeout(aTimeout); }
  void RenewCall(duration aAge) { mWatch.RenewCall(aAge); }
  /// Returns whether the store has been read once.
  [[nodiscard]] bool IsListed() const { return mIsListed; }

  /// Returns whether a mesh document is about an emptied zone.
  [[nodiscard]] static bool IsEvacuationDocument(const peers::document_message& aDocument)
  {
    return aDocument.service.value.starts_with(kEvacuationDocumentPrefix);
  }
  /// Applies what another gateway has heard.
  void ApplyPeerDocument(const peers::document_message& aDocument);

private:
  /// Pause after changes; more of them are rare.
  static constexpr duration kEvacuationBatchDelay{ 20 };

  [[nodiscard]] watch_handlers MakeHandlers();
  void ApplyList(const platform::object_list& aList);
  void ApplyChanges(const platform::object_changes& aChanges);
  void Publish(const zone_evacuation& aChange) const;
  /// Logs a change and tells which zones are emptied now.
  void ReportChange(const zone_evacuation& aChange, const char* aSource);

  metrics_registry& mMetrics;
  zone_evacuations mZones;
  bool mIsListed = false;
  store_watch<store> mWatch;
};

template<gateway_dialect Dialect>
watch_handlers
evacuation_feed<Dialect>::MakeHandlers()
{
  watch_handlers handlers;
  handlers.onList = [this](const platform::object_list& aList) { ApplyList(aList); };
  handlers.onChanges = [this](const platform::object_changes& aChanges) { ApplyChanges(aChanges); };
  handlers.onAvailability = [](bool) {};
  return handlers;
}

template<gateway_dialect Dialect>
void
evacuation_feed<Dialect>::ApplyList(const platform::object_list& aList)
{
  mIsListed = true;
  std::vector<zone_evacuation> listed;
  for (const platform::stored_object& object : aList.objects) {
    listed.push_back({ { object.key.name }, object.version, true });
  }
  for (const zone_evacuation& change : mZones.ApplyList(listed, aList.asOf)) {
    Publish(change);
    ReportChange(change, "store");
  }
}

template<gateway_dialect Dialect>
void
evacuation_feed<Dialect>::ApplyChanges(const platform::object_changes& aChanges)
{
  for (const platform::object_change& object : aChanges.changes) {
    // A deletion carries the revision of the object's last change, so its version must be higher.
    const revision version{ object.version.value + (object.deleted ? 1 : 0) };
    const zone_evacuation change{ { object.key.name }, version, !object.deleted };
    if (mZones.Apply(change)) {
      Publish(change);
      ReportChange(change, "store");
    }
  }
}

template<gateway_dialect Dialect>
void
evacuation_feed<Dialect>::Publish(const zone_evacuation& aChange) const
{
  if (onNewChange) {
    onNewChange({ { std::string(kEvacuationDocumentPrefix) + aChange.zone.value },
                  aChange.version,
                  aChange.isEmptied ? "emptied" : "",
                  true });
  }
}

template<gateway_dialect Dialect>
void
evacuation_feed<Dialect>::ApplyPeerDocument(const peers::document_message& aDocument)
{
  const zone_name zone{ aDocument.service.value.substr(kEvacuationDocumentPrefix.size()) };
  const zone_evacuation change{ zone, aDocument.version, !aDocument.text.empty() };
  if (mZones.Apply(change)) {
    ReportChange(change, "peer");
  }
}

template<gateway_dialect Dialect>
void
evacuation_feed<Dialect>::ReportChange(const zone_evacuation& aChange, const char* aSource)
{
  std::set<zone_name> emptied = mZones.Emptied();
  WriteLog(aChange.isEmptied ? kZoneEmptied : kZoneTakenBack,
           { { "zone", aChange.zone.value },
             { "revision", platform::RevisionText(aChange.version) },
             { "from", aSource },
             { "emptied", std::to_string(emptied.size()) } });
  mMetrics.Set(kEmptiedZones, static_cast<double>(emptied.size()));
  if (onChange) {
    onChange(std::move(emptied));
  }
}

} // namespace persimmon::gateway
