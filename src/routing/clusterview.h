#pragma once

#include "base/clock.h"
#include "document/versioneddocument.h"
#include "peers/messages.h"
#include "placement/domaintable.h"
#include "platform/instancelist.h"
#include "routing/serviceview.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmon::routing {

/// Time for which an observation is evidence that a group is complete.
constexpr duration kEvidenceLifetime = 2_s;

/// Effect of an event on a cluster_view.
enum class view_change
{
  /// Nothing changed.
  none,
  /// Only loads or expiry times changed; the new service views can be published with the next
  /// batch.
  load,
  /// The eligible upstreams or a document changed; publish the new service views at once.
  eligibility,
  /// The event could not be parsed, see LastReason(). The previous version stays in force.
  malformed
};

/// Merges documents, domain tables, observations, leaving marks and the instance list into one view
/// per service. Does no I/O: the caller serialises calls and passes the time.
///
/// A group is eligible while its state in the domain table is serving, the newest observation of
/// its current generation is younger than kEvidenceLifetime and found every member, and no member
/// is leaving. An observer that cannot reach any member reports nothing, so that the evidence
/// expires; an observer that finds a member missing or changed reports it, which makes the group
/// ineligible at once.
class cluster_view
{
public:
  /// Applies a document with a higher revision than the last; an empty text retires the service.
  view_change Apply(const peers::document_message& aDocument, time_point aNow);
  /// Applies a domain table with a higher revision than the last; an empty text removes its groups.
  view_change Apply(const peers::table_message& aTable, time_point aNow);
  /// Applies an observation that is newer than the last from the same observer.
  view_change Apply(const peers::presence_message& aPresence, time_point aNow);
  /// Marks an incarnation of an instance as leaving; the mark is never withdrawn.
  view_change Apply(const peers::leaving_message& aLeaving, time_point aNow);
  /// Replaces the instance list. Instances that it lists as leaving are marked; a later list does
  /// not withdraw the mark.
  view_change Apply(const std::vector<platform::listed_instance>& aList, time_point aNow);
  /// Drops observations and marks that are no longer needed; call about once a second.
  void Prune(time_point aNow);

  /// Returns the view of a service; never null, empty for an unknown service.
  std::shared_ptr<const service_view> Service(const service_name& aService);
  /// Returns the services that have a document, retired services included.
  [[nodiscard]] std::vector<service_name> Services() const;
  /// Returns the groups of all domain tables, for the observers of groups.
  [[nodiscard]] std::vector<placement::group> Groups() const;
  /// Returns the instances that are marked as leaving.
  [[nodiscard]] std::vector<peers::leaving_message> LeavingInstances() const;
  /// Returns the number of routers in the instance list that are not leaving; at least 1.
  [[nodiscard]] std::size_t RouterCount() const;
  /// Returns the revisions in force at this router, to be sent over the mesh.
  [[nodiscard]] std::vector<peers::applied_message> AppliedRevisions(const router_id& aSelf) const;
  /// Returns true until the first document was applied.
  [[nodiscard]] bool Empty() const { return mDocuments.empty(); }
  /// Returns why the last event was malformed.
  [[nodiscard]] const std::string& LastReason() const { return mLastReason; }

private:
  struct table_entry
  {
    revision version;
    placement::domain_table table;
  };
  struct observation
  {
    router_id observer;
    generation version;
    time_point observedAt;
    /// The observer found every member of the group in its expected incarnation.
    bool complete = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
  };
  struct leaving_mark
  {
    incarnation incarnationId;
    /// When the mark was last received.
    time_point markedAt;
  };

  view_change Malformed(std::string aReason);
  /// Returns false when this or a later incarnation was marked before.
  bool MarkLeaving(const instance_id& aInstance, incarnation aIncarnation, time_point aNow);
  /// Drops the cached views of all services with groups in a table.
  void Invalidate(const placement::domain_table& aTable);
  /// Drops the cached views of all services that an instance belongs to.
  void InvalidateServicesWith(const instance_id& aInstance);
  [[nodiscard]] candidate Evaluate(const placement::group& aGroup) const;
  [[nodiscard]] candidate Evaluate(const platform::listed_instance& aInstance) const;
  [[nodiscard]] ineligibility CheckMembers(const placement::group& aGroup) const;
  /// Returns the newest observation of the group's generation or a later one, or null. When two
  /// have the same time, an incomplete one counts as newer.
  [[nodiscard]] const observation* NewestObservation(const placement::group& aGroup) const;
  [[nodiscard]] bool IsLeaving(const instance_id& aInstance, incarnation aIncarnation) const;
  [[nodiscard]] const placement::group* FindGroup(const group_id& aGroup) const;
  [[nodiscard]] std::shared_ptr<const service_view> BuildServiceView(
    const service_name& aService) const;

  std::map<service_name, std::shared_ptr<const versioned_document>> mDocuments;
  std::map<domain_id, table_entry> mTables;
  std::unordered_map<group_id, domain_id> mDomainOfGroup;
  std::unordered_map<group_id, std::vector<observation>> mObservations;
  std::unordered_map<instance_id, leaving_mark> mLeaving;
  std::unordered_map<instance_id, platform::listed_instance> mInstances;
  std::map<service_name, std::shared_ptr<const service_view>> mViews;
  std::string mLastReason;
};

} // namespace persimmon::routing
