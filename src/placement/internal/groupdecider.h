#pragma once

#include "base/random.h"
#include "placement/domaintable.h"
#include "placement/membertracker.h"
#include "placement/placementmessages.h"
#include "placement/placementplan.h"
#include "placement/placementpolicy.h"
#include "placement/placementweights.h"
#include "placement/servicecatalogue.h"

#include <map>
#include <set>

namespace persimmon::placement {

/// Since when, and in which version of the table, a group has been in its present state.
struct group_progress
{
  group_state state = group_state::forming;
  generation version;
  time_point since;
  revision table;
};

/// What the decisions on one domain rest on.
struct decision_context
{
  const service_catalogue& documents;
  const placement_plan& plan;
  const member_tracker& members;
  const std::map<group_id, group_progress>& progress;
  placement_weights weights;
  placement_policy policy;
  time_point now;
  /// Engines that ignore fencing tokens are believed only when read at or after this moment.
  time_point settledAt;
  /// Table version that every live router applies.
  revision applied;
  random_source& random;
};

/// Derives the next version of a domain's table from the present one.
class group_decider
{
public:
  group_decider(const decision_context& aContext,
                const domain_table& aTable,
                placement_actions& aActions);

  /// Returns the table as it should be; equal to the present one when nothing is to be done.
  domain_table Decide();

private:
  /// Moves one group on. Returns false when it is to be removed.
  bool Advance(group& aGroup);
  bool AdvanceDraining(group& aGroup);
  bool AdvanceForming(group& aGroup);
  bool AdvanceLoading(group& aGroup);
  bool AdvanceServing(group& aGroup);
  /// Takes lost members out. Returns false when none are left.
  bool Shrink(group& aGroup);
  /// Waits for lost members and takes them back in their new lives.
  void AwaitReturn(group& aGroup);
  void DropExcess();
  void CompleteBroken();
  bool Complete(group& aGroup, const std::vector<group_id>& aLowerRanked);
  void DropHeldTooLong();
  void FormMissing();
  bool Form(const service_document& aDocument);
  void BumpChanged();

  [[nodiscard]] bool IsDrained(const group& aGroup) const;
  [[nodiscard]] bool IsWhole(const group& aGroup) const;
  [[nodiscard]] bool HasMismatch(const group& aGroup) const;
  [[nodiscard]] bool IsMemberGone(const group& aGroup, const group_member& aMember) const;
  [[nodiscard]] bool IsComplete(const group& aGroup) const;
  [[nodiscard]] bool IsOutdated(const group& aGroup) const;
  [[nodiscard]] bool MayLoad(const group& aGroup) const;
  [[nodiscard]] bool IsAnyoneWaiting(const group& aHeld) const;
  [[nodiscard]] const service_document* DocumentOf(const service_name& aService) const;
  [[nodiscard]] std::int64_t PriorityOf(const group& aGroup) const;
  [[nodiscard]] std::uint64_t CountActive(const service_name& aService) const;
  [[nodiscard]] std::uint64_t ShareHere(const service_name& aService) const;
  [[nodiscard]] time_point Since(const group& aGroup) const;
  [[nodiscard]] std::vector<const tracked_instance*> FreeFor(const model_spec& aModel) const;
  [[nodiscard]] std::uint64_t CountLoads(const group& aGroup) const;
  [[nodiscard]] std::vector<const service_document*> ByPriority() const;
  void StartLoading(group& aGroup);
  void Note(const log_event& aEvent, const group& aGroup, std::string aDetail = {});

  const decision_context& mContext;
  const domain_table& mTable;
  domain_table mNext;
  placement_actions& mActions;
};

} // namespace persimmon::placement
