#include "assembly/groupcontroller.h"
#include "assembly/internal/grouporders.h"

#include <algorithm>

// The end of a group: its members leave and are free.

namespace persimmon::assembly {
namespace {

/// A releasing group with no registered instance is forgotten after this time.
constexpr duration kUnregisteredGroupTimeout = 20_s;

} // namespace

void
group_controller::StartReleasing(managed_group& aGroup,
                                 const std::string& aCause,
                                 time_point aNow,
                                 actions& aActions)
{
  aGroup.currentStage = managed_group::stage::releasing;
  aGroup.stageStartedAt = aNow;
  RecordDecision(record_decision::decision_kind::released, aGroup, aCause, aActions);
}

bool
group_controller::HasLeft(const managed_group& aGroup,
                          const managed_member& aMember,
                          const fleet::fleet_view& aFleet) const
{
  const auto found = mInstanceStates.find(aMember.instance);
  if (aMember.hasLeft || found == mInstanceStates.end()) {
    return aMember.hasLeft;
  }
  if (HasRestarted(aMember)) {
    return true;
  }
  const bool reportCurrent =
    found->second.missedReports == 0 && found->second.lastReportAt > aGroup.stageStartedAt;
  return reportCurrent && !IsMemberOf(aGroup.id, aGroup.epoch, aMember.instance, aFleet);
}

bool
group_controller::HasRestarted(const managed_member& aMember) const
{
  const auto found = mInstanceStates.find(aMember.instance);
  return found != mInstanceStates.end() && found->second.incarnationId > aMember.incarnationId;
}

bool
group_controller::IsWhole(const managed_group& aGroup, const fleet::fleet_view& aFleet) const
{
  const auto head = MembershipOf(aGroup.Head().instance, aFleet);
  const bool isOpen = head && head->phase == fleet::member_phase::open;
  return isOpen &&
         std::all_of(
           aGroup.members.begin(), aGroup.members.end(), [&](const managed_member& aMember) {
             const auto found = mInstanceStates.find(aMember.instance);
             return !aMember.leaveSentAt && !aMember.hasLeft && found != mInstanceStates.end() &&
                    found->second.missedReports == 0 &&
                    found->second.lastReportAt > aGroup.stageStartedAt &&
                    IsMemberOf(aGroup.id, aGroup.epoch, aMember.instance, aFleet);
           });
}

void
group_controller::AdvanceReleasing(managed_group& aGroup,
                                   const fleet::fleet_view& aFleet,
                                   time_point aNow,
                                   actions& aActions)
{
  for (managed_member& member : aGroup.members) {
    member.hasLeft = HasLeft(aGroup, member, aFleet);
  }
  if (aGroup.isReleasedForSilence && IsWhole(aGroup, aFleet)) {
    aGroup.currentStage = managed_group::stage::serving;
    aGroup.isReleasedForSilence = false;
    aGroup.stageStartedAt = aNow;
    RecordDecision(record_decision::decision_kind::kept, aGroup, "all members answer", aActions);
    return;
  }
  const bool hasHeadRestarted = HasRestarted(aGroup.Head());
  const bool isHeadAlone = aGroup.members.size() == 1;
  if (aGroup.Head().hasLeft && (!hasHeadRestarted || isHeadAlone)) {
    EndGroup(aGroup, "head left the group", true, aNow, aActions);
    return;
  }
  // An unreachable head may still be alive, and one that restarted may be brought back into the
  // group by orders to its former life that are late. Members that have confirmed to have left are
  // free nevertheless.
  const instance_id head = aGroup.Head().instance;
  std::erase_if(aGroup.members, [&](const managed_member& aMember) {
    const bool isFree = aMember.hasLeft && aMember.instance != head;
    if (isFree) {
      FreeMember(aGroup, aMember, aNow);
    }
    return isFree;
  });
  bool anyRegistered = false;
  for (managed_member& member : aGroup.members) {
    anyRegistered = anyRegistered || aFleet.Find(member.instance) != nullptr;
    // An order that waits for the end of a silence would be carried out at a group at work.
    const auto state = mInstanceStates.find(member.instance);
    const bool isSilent = state != mInstanceStates.end() && state->second.missedReports > 0;
    if (aGroup.isReleasedForSilence && isSilent) {
      continue;
    }
    const bool mustLeave =
      !member.hasLeft && (member.instance == head || hasHeadRestarted || IsUnresponsive(head));
    if (!mustLeave || !IsDue(member.leaveSentAt, mOptions.orderRetryInterval, aNow)) {
      continue;
    }
    if (SendOrder(MakeOrder(aGroup, member.instance, order_kind::leave), aNow, aActions)) {
      member.leaveSentAt = aNow;
    }
  }
  if (!anyRegistered && aNow - aGroup.stageStartedAt > kUnregisteredGroupTimeout) {
    ForgetGroup(aGroup, "no member is registered", aNow, aActions);
  }
}

void
group_controller::AbandonForming(managed_group& aGroup,
                                 const std::string& aCause,
                                 time_point aNow,
                                 actions& aActions)
{
  RecordDecision(record_decision::decision_kind::abandoned, aGroup, aCause, aActions);
  if (aGroup.isAdopted) {
    StartReleasing(aGroup, aCause, aNow, aActions);
  } else {
    EndGroup(aGroup, aCause, false, aNow, aActions);
  }
}

void
group_controller::ReleaseMembersOfEndedGroups(const fleet::fleet_view& aFleet,
                                              time_point aNow,
                                              actions& aActions)
{
  mEndedGroupsWithHead.clear();
  for (auto& [id, state] : mInstanceStates) {
    const auto membership = MembershipOf(id, aFleet);
    if (!membership || state.IsInNoGroup()) {
      continue;
    }
    const std::pair group(membership->group, membership->epoch);
    const auto ended = mEndedGroups.find(group);
    const bool isHead = membership->rank == 0;
    if (ended == mEndedGroups.end() || (ended->second && !isHead)) {
      continue;
    }
    if (isHead) {
      mEndedGroupsWithHead.insert(group);
    }
    // The report of one that has joined another group since may lag behind.
    if (FindGroupOf(id) != nullptr || state.missedReports > 0 ||
        !IsDue(state.leaveSentAt, mOptions.orderRetryInterval, aNow)) {
      continue;
    }
    SendOrder(
      MakeOrder(membership->group, membership->epoch, id, order_kind::leave), aNow, aActions);
  }
}

void
group_controller::EndGroup(managed_group& aGroup,
                           const std::string& aCause,
                           bool aHasHeadLeft,
                           time_point aNow,
                           actions& aActions)
{
  RecordDecision(record_decision::decision_kind::freed, aGroup, aCause, aActions);
  mEndedGroups[{ aGroup.id, aGroup.epoch }] = aHasHeadLeft;
  for (const managed_member& member : aGroup.members) {
    FreeMember(aGroup, member, aNow);
  }
  aGroup.members.clear();
}

void
group_controller::ForgetGroup(managed_group& aGroup,
                              const std::string& aCause,
                              time_point aNow,
                              actions& aActions)
{
  RecordDecision(record_decision::decision_kind::forgotten, aGroup, aCause, aActions);
  for (const managed_member& member : aGroup.members) {
    FreeMember(aGroup, member, aNow);
  }
  aGroup.members.clear();
}

void
group_controller::FreeMember(const managed_group& aGroup,
                             const managed_member& aMember,
                             time_point aNow)
{
  const auto found = mInstanceStates.find(aMember.instance);
  if (found == mInstanceStates.end() || found->second.incarnationId != aMember.incarnationId) {
    return;
  }
  if (aMember.hasBeenReady) {
    found->second.lastGroupModel = aGroup.model;
  }
  found->second.nextProbeAt = aNow;
}

} // namespace persimmon::assembly
