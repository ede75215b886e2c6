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

/// How long an observation of a group counts.
constexpr duration kEvidenceLifetime = 2_s;

enum class view_change
{
  /// Nothing that the view did not know.
  none,
  /// Load or freshness only; publishing the new service views can wait for the next batch.
  load,
  /// Which upstreams are eligible, or a document; publish the new service views at once.
  eligibility,
  /// The event could not be parsed; LastReason() tells why. What was in force stays so.
  malformed
};

/// Merges what documents, domain tables, observations, leaving marks and the instance list say
/// into one view for each service. Pure: the caller serialises calls and passes the time.
///
/// A group is eligible while its table has it serving, the newest observation of its present
/// generation found every member in place less than kEvidenceLifetime ago, and no member is
/// leaving. An observer that reaches nobody reports nothing, so that evidence expires; one that
/// sees a missing or changed member reports it, which withdraws the group at once.
class cluster_view
{
public:
  /// Applies a document with a higher revision; an empty text retires the service.
  view_change Apply(const peers::document_message& aDocument, time_point aNow);
  /// Applies a domain table with a higher revision; an empty text removes its groups.
  view_change Apply(const peers::table_message& aTable, time_point aNow);
  /// Applies an observation that is newer than its observer's last.
  view_change Apply(const peers::presence_message& aPresence, time_point aNow);
  /// Marks an instance as leaving for the rest of its life.
  view_change Apply(const peers::leaving_message& aLeaving, time_point aNow);
  /// Replaces the instance list; instances that it shows as leaving stay marked.
  view_change Apply(const std::vector<platform::listed_instance>& aList, time_point aNow);
  /// Drops observations and marks that can no longer matter; call about once a second.
  void Prune(time_point aNow);

  /// Returns the view of a service; never null, empty for an unknown one.
  std::shared_ptr<const service_view> Service(const service_name& aService);
  /// Services that have a document, retired ones included.
  [[nodiscard]] std::vector<service_name> Services() const;
  /// Groups of all tables, for those who observe them.
  [[nodiscard]] std::vector<placement::group> Groups() const;
  /// Instances that are marked as leaving.
  [[nodiscard]] std::vector<peers::leaving_message> Leaving() const;
  /// Number of routers by the instance list, at least 1.
  [[nodiscard]] std::size_t RouterCount() const;
  /// Versions in force here, for the mesh.
  [[nodiscard]] std::vector<peers::applied_message> Applied(const router_id& aSelf) const;
  /// True until the first document has come.
  [[nodiscard]] bool Empty() const { return mDocuments.empty(); }
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
    time_point at;
    bool whole = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
  };
  struct leaving_mark
  {
    incarnation life;
    time_point at;
  };

  view_change Malformed(std::string aReason);
  bool Mark(const instance_id& aInstance, incarnation aLife, time_point aNow);
  void Invalidate(const placement::domain_table& aTable);
  void InvalidateUsersOf(const instance_id& aInstance);
  [[nodiscard]] candidate Evaluate(const placement::group& aGroup) const;
  [[nodiscard]] candidate Evaluate(const platform::listed_instance& aInstance) const;
  [[nodiscard]] ineligibility CheckMembers(const placement::group& aGroup) const;
  [[nodiscard]] const observation* NewestObservation(const placement::group& aGroup) const;
  [[nodiscard]] bool IsLeaving(const instance_id& aInstance, incarnation aLife) const;
  [[nodiscard]] const placement::group* FindGroup(const group_id& aGroup) const;
  [[nodiscard]] std::shared_ptr<const service_view> Build(const service_name& aService) const;

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
