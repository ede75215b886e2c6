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

/// When, and in which version of the table, a group entered its current state and generation.
struct group_transition
{
  group_state state = group_state::forming;
  generation version;
  time_point enteredAt;
  revision tableVersion;
};

/// Input of a group_reconciler.
struct reconcile_context
{
  const service_catalogue& documents;
  const placement_plan& plan;
  const member_tracker& members;
  const std::map<group_id, group_transition>& transitions;
  placement_weights weights;
  placement_policy policy;
  time_point now;
  /// From this time the previous owner's orders can no longer take effect. State of an engine that
  /// ignores fencing tokens counts only when it was read at or after it.
  time_point previousOwnerExpiry;
  /// Table version that every live router has applied.
  revision appliedByRouters;
  random_source& random;
};

/// Computes the next version of a domain's table from the current one.
class group_reconciler
{
public:
  group_reconciler(const reconcile_context& aContext,
                   const domain_table& aTable,
                   placement_actions& aActions);

  /// Returns the next table; equal to the current one when nothing has to change.
  domain_table Reconcile();

private:
  /// Advances the state of a group. Returns false when the group must be removed.
  bool AdvanceGroup(group& aGroup);
  bool AdvanceDraining(group& aGroup);
  bool AdvanceForming(group& aGroup);
  bool AdvanceLoading(group& aGroup);
  bool AdvanceServing(group& aGroup);
  /// Removes lost members, or waits for them if the policy has no spares. Returns false when the
  /// group must be removed.
  bool RemoveLostMembers(group& aGroup);
  /// Returns a group with lost members to forming and accepts restarted members in their new
  /// incarnation.
  void AwaitLostMembers(group& aGroup);
  /// Removes groups that do not serve beyond the planned number.
  void DropExcess();
  void RefillIncomplete();
  /// Adds free instances, then members of aDonors, until the group has its size. Returns false and
  /// changes nothing when there are too few.
  bool Refill(group& aGroup, const std::vector<group_id>& aDonors);
  /// Removes groups that were incomplete for too long while another service waits.
  void DropExpiredIncomplete();
  void FormMissing();
  bool FormGroup(const service_document& aDocument);
  /// Gives each group whose members or model changed a new generation.
  void AdvanceGenerations();

  [[nodiscard]] bool IsDrained(const group& aGroup) const;
  [[nodiscard]] bool AreAllMembersReady(const group& aGroup) const;
  [[nodiscard]] bool HasMismatchedMember(const group& aGroup) const;
  [[nodiscard]] bool MustRemoveMember(const group& aGroup, const group_member& aMember) const;
  [[nodiscard]] bool HasAllMembers(const group& aGroup) const;
  [[nodiscard]] bool IsOutdated(const group& aGroup) const;
  [[nodiscard]] bool CanStartLoading(const group& aGroup) const;
  [[nodiscard]] bool IsOtherServiceWaiting(const group& aIncomplete) const;
  [[nodiscard]] const service_document* DocumentOf(const service_name& aService) const;
  [[nodiscard]] std::int64_t PriorityOf(const group& aGroup) const;
  [[nodiscard]] std::uint64_t CountActiveGroups(const service_name& aService) const;
  [[nodiscard]] std::uint64_t DomainShare(const service_name& aService) const;
  [[nodiscard]] time_point StateEnteredAt(const group& aGroup) const;
  [[nodiscard]] std::vector<const tracked_instance*> FreeInstancesFor(
    const model_spec& aModel) const;
  [[nodiscard]] std::uint64_t CountLoads(const group& aGroup) const;
  [[nodiscard]] std::vector<const service_document*> ServicesByPriority() const;
  /// Counts the loads of a complete group; it loads at once when there are none, and otherwise
  /// waits for a load slot.
  void PrepareLoading(group& aGroup);
  void LogDecision(const log_event& aEvent, const group& aGroup, std::string aDetail = {});

  const reconcile_context& mContext;
  const domain_table& mTable;
  domain_table mNext;
  placement_actions& mActions;
};

} // namespace persimmon::placement
