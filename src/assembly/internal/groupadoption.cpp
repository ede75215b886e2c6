#include "assembly/groupcontroller.h"

#include <algorithm>

// Groups of a former leader.

namespace persimmon::assembly {
namespace {

/// Returns the stage in which a group of a former leader is taken over.
managed_group::stage
StageAtAdoption(const fleet::engine_group& aGroup, bool aIsHeadUnknown)
{
  using stage = managed_group::stage;
  using fleet::member_phase;
  const bool isServing =
    aGroup.headPhase == member_phase::open || aGroup.headPhase == member_phase::closing;
  if (!aGroup.complete) {
    // An entry that has lapsed proves no loss. A head that serves finishes what it runs, or reports
    // the group broken; an unknown one may be at work.
    return aIsHeadUnknown || isServing ? stage::closing : stage::releasing;
  }
  switch (aGroup.headPhase) {
    case member_phase::open:
      return stage::serving;
    case member_phase::closing:
      return stage::closing;
    case member_phase::broken:
      return stage::releasing;
    case member_phase::joining:
    case member_phase::ready:
      return stage::forming;
  }
  return stage::releasing;
}

} // namespace

void
group_controller::AdoptGroups(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions)
{
  for (const fleet::engine_group& group : aFleet.GroupsOfService(mService)) {
    const bool ended = mEndedGroups.count({ group.id, group.epoch }) != 0;
    if (!ended && FindGroup(group.id, group.epoch) == nullptr && MayAdopt(group, aFleet, aNow)) {
      AdoptGroup(group, aFleet, aNow, aActions);
    }
  }
}

bool
group_controller::MayAdopt(const fleet::engine_group& aGroup,
                           const fleet::fleet_view& aFleet,
                           time_point aNow) const
{
  const auto isManaged = [this](const instance_id& aId) { return FindGroupOf(aId) != nullptr; };
  if (std::any_of(aGroup.members.begin(), aGroup.members.end(), isManaged)) {
    return false;
  }
  if (aNow - mLeadingSince > mOptions.adoptionGracePeriod) {
    return true;
  }
  // Registry entries lag behind, so they may still show a group that was released. Only members
  // that have reported to this leader prove that the group exists.
  return aGroup.complete &&
         std::all_of(aGroup.members.begin(), aGroup.members.end(), [&](const instance_id& aId) {
           const auto found = mInstanceStates.find(aId);
           return found != mInstanceStates.end() && found->second.lastReportAt > mLeadingSince &&
                  IsMemberOf(aGroup.id, aGroup.epoch, aId, aFleet);
         });
}

void
group_controller::AdoptGroup(const fleet::engine_group& aGroup,
                             const fleet::fleet_view& aFleet,
                             time_point aNow,
                             actions& aActions)
{
  managed_group adoptedGroup;
  adoptedGroup.id = aGroup.id;
  adoptedGroup.epoch = aGroup.epoch;
  adoptedGroup.model = aGroup.model;
  adoptedGroup.stageStartedAt = aNow;
  adoptedGroup.isAdopted = true;
  const fleet::instance* firstMember = aFleet.Find(aGroup.members.front());
  if (firstMember->membership->rank != 0) {
    // The head is unknown but may be alive and serving where this process cannot reach it, so an
    // empty member takes its place.
    adoptedGroup.members.push_back({});
  }
  for (const instance_id& id : aGroup.members) {
    const fleet::instance* member = aFleet.Find(id);
    managed_member adoptedMember;
    adoptedMember.instance = id;
    adoptedMember.incarnationId = member->incarnationId;
    adoptedMember.joinAccepted = true;
    adoptedMember.hasBeenReady = member->membership->phase != fleet::member_phase::joining;
    adoptedMember.joinSentAt = aNow;
    adoptedGroup.members.push_back(std::move(adoptedMember));
  }
  adoptedGroup.currentStage = StageAtAdoption(aGroup, adoptedGroup.Head().instance.Empty());
  RecordDecision(record_decision::decision_kind::adopted,
                 adoptedGroup,
                 StageName(adoptedGroup.currentStage),
                 aActions);
  mGroups.push_back(std::move(adoptedGroup));
}

void
group_controller::FindMissingHead(managed_group& aGroup, const fleet::fleet_view& aFleet) const
{
  if (!aGroup.Head().instance.Empty()) {
    return;
  }
  for (const fleet::instance* candidate : aFleet.InstancesOfService(mService.name)) {
    const auto& membership = candidate->membership;
    if (membership && membership->group == aGroup.id && membership->epoch == aGroup.epoch &&
        membership->rank == 0) {
      aGroup.Head().instance = candidate->id;
      aGroup.Head().incarnationId = candidate->incarnationId;
      aGroup.closeSentAt.reset();
    }
  }
}

} // namespace persimmon::assembly
