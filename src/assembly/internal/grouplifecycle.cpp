#include "assembly/groupcontroller.h"

#include <algorithm>

namespace persimmon::assembly {
namespace {

/// Forming timeout of a model without loading time; a multiple of the loading time is added.
constexpr duration kBaseFormingTimeout = 5_s;
/// Longest time from the stage change to opening until the head accepts requests.
constexpr duration kOpeningTimeout = 5_s;
/// Longest time from the adoption of a group until its members, once ready, have confirmed that
/// they are in it: long enough for several orders, some of which get no answer.
constexpr duration kConfirmationTimeout = 5_s;
/// A releasing group with no registered instance is forgotten after this time.
constexpr duration kUnregisteredGroupTimeout = 20_s;

/// Longest time until a report shows that the head is open, from the time at which it is.
constexpr duration kMaxShowTime = 700_ms;

/// Returns true when an action that was last performed at aLast, or never, is due again.
bool
IsDue(const std::optional<time_point>& aLast, duration aInterval, time_point aNow)
{
  return !aLast || aNow - *aLast >= aInterval;
}

/// Returns true when the instance executes the order or is already in the requested state.
bool
IsSuccess(order_outcome aOutcome)
{
  return aOutcome == order_outcome::begun || aOutcome == order_outcome::done;
}

/// Returns true when a member takes no order of former leaders once its group is open, where
/// engines check tokens: it has accepted one of this leader, or is the head, which will with the
/// order to open.
bool
IsBoundToLeader(const managed_group& aGroup, const managed_member& aMember)
{
  const bool isHead = &aMember == &aGroup.Head();
  return !aGroup.isAdopted || aMember.isConfirmed || isHead;
}

/// Returns an order about a group to one of its members.
engine_order
MakeOrder(const managed_group& aGroup, const instance_id& aMember, order_kind aKind)
{
  engine_order order;
  order.kind = aKind;
  order.instance = aMember;
  order.group = aGroup.id;
  order.epoch = aGroup.epoch;
  return order;
}

} // namespace

std::optional<fleet::group_membership>
group_controller::MembershipOf(const instance_id& aInstance, const fleet::fleet_view& aFleet) const
{
  const auto found = mInstanceStates.find(aInstance);
  const fleet::instance* entry = aFleet.Find(aInstance);
  auto registeredMembership = entry == nullptr ? std::nullopt : entry->membership;
  if (found == mInstanceStates.end() || !found->second.report) {
    return registeredMembership;
  }
  // A report is newer than the registry entry, which lags behind. The exception is an entry that
  // shows a later phase of the same membership.
  const auto& reportedMembership = found->second.report->membership;
  const bool sameMembership = reportedMembership && registeredMembership &&
                              reportedMembership->group == registeredMembership->group &&
                              reportedMembership->epoch == registeredMembership->epoch &&
                              entry->incarnationId == found->second.incarnationId;
  return sameMembership && registeredMembership->phase > reportedMembership->phase
           ? registeredMembership
           : reportedMembership;
}

bool
group_controller::IsMemberOf(const group_id& aGroup,
                             generation aEpoch,
                             const instance_id& aInstance,
                             const fleet::fleet_view& aFleet) const
{
  const auto membership = MembershipOf(aInstance, aFleet);
  return membership && membership->group == aGroup && membership->epoch == aEpoch;
}

void
group_controller::EndAfterLoss(managed_group& aGroup,
                               const std::string& aCause,
                               bool aIsProved,
                               time_point aNow,
                               actions& aActions)
{
  if (aGroup.currentStage == managed_group::stage::forming) {
    AbandonForming(aGroup, aCause, aNow, aActions);
    return;
  }
  aGroup.isReleasedForSilence = !aIsProved;
  StartReleasing(aGroup, aCause, aNow, aActions);
}

void
group_controller::AdvanceGroup(managed_group& aGroup,
                               const fleet::fleet_view& aFleet,
                               time_point aNow,
                               actions& aActions)
{
  if (aGroup.currentStage == managed_group::stage::releasing) {
    AdvanceReleasing(aGroup, aFleet, aNow, aActions);
    return;
  }
  FindMissingHead(aGroup, aFleet);
  for (const managed_member& member : aGroup.members) {
    if (member.instance.Empty()) {
      continue;
    }
    const std::string proved = ProvedLossCause(aGroup, member, aFleet);
    const std::string cause =
      proved.empty() ? SilenceCause(aGroup, member.instance, aFleet, aNow) : proved;
    if (!cause.empty()) {
      EndAfterLoss(aGroup, cause, !proved.empty(), aNow, aActions);
      return;
    }
  }
  switch (aGroup.currentStage) {
    case managed_group::stage::forming:
      AdvanceForming(aGroup, aFleet, aNow, aActions);
      break;
    case managed_group::stage::opening:
    case managed_group::stage::serving:
      AdvanceOpeningOrServing(aGroup, aFleet, aNow, aActions);
      break;
    case managed_group::stage::closing:
      AdvanceClosing(aGroup, aFleet, aNow, aActions);
      break;
    case managed_group::stage::releasing:
      break;
  }
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

void
group_controller::OrderToJoin(const managed_group& aGroup,
                              managed_member& aMember,
                              time_point aNow,
                              actions& aActions)
{
  std::optional<time_point>& sentAt =
    aMember.joinAccepted ? aMember.confirmationSentAt : aMember.joinSentAt;
  const bool mustJoin = !aMember.joinAccepted || !IsBoundToLeader(aGroup, aMember);
  if (!mustJoin || !IsDue(sentAt, mOptions.orderRetryInterval, aNow)) {
    return;
  }
  engine_order order = MakeOrder(aGroup, aMember.instance, order_kind::join);
  order.model = aGroup.model;
  for (const managed_member& member : aGroup.members) {
    order.members.push_back(member.instance);
  }
  if (SendOrder(std::move(order), aNow, aActions)) {
    sentAt = aNow;
  }
}

void
group_controller::AdvanceForming(managed_group& aGroup,
                                 const fleet::fleet_view& aFleet,
                                 time_point aNow,
                                 actions& aActions)
{
  const routes::model_profile* model = mService.engine->FindModel(aGroup.model);
  const duration loadTime = model == nullptr ? duration{} : model->loadTime;
  bool allReady = true;
  bool allBound = true;
  for (managed_member& member : aGroup.members) {
    const auto membership = MembershipOf(member.instance, aFleet);
    if (IsMemberOf(aGroup.id, aGroup.epoch, member.instance, aFleet)) {
      member.joinAccepted = true;
      member.hasBeenReady = membership->phase != fleet::member_phase::joining;
    }
    allReady = allReady && member.hasBeenReady;
    allBound = allBound && IsBoundToLeader(aGroup, member);
    // A late order may have made it a member of another group since it was selected.
    if (!member.joinAccepted && MayBeInGroup(member.instance)) {
      AbandonForming(
        aGroup, "instance " + member.instance.value + " is in another group", aNow, aActions);
      return;
    }
    OrderToJoin(aGroup, member, aNow, aActions);
  }
  if (allReady && allBound) {
    aGroup.currentStage = managed_group::stage::opening;
    aGroup.stageStartedAt = aNow;
    AdvanceOpeningOrServing(aGroup, aFleet, aNow, aActions);
    return;
  }
  if (allReady && aNow - aGroup.stageStartedAt > kConfirmationTimeout) {
    AbandonForming(aGroup, "members did not confirm in time", aNow, aActions);
    return;
  }
  if (aNow - aGroup.stageStartedAt >
      kBaseFormingTimeout + loadTime * mOptions.formingTimeoutFactor) {
    AbandonForming(aGroup, "members were not ready in time", aNow, aActions);
  }
}

void
group_controller::AdvanceOpeningOrServing(managed_group& aGroup,
                                          const fleet::fleet_view& aFleet,
                                          time_point aNow,
                                          actions& aActions)
{
  const instance_id head = aGroup.Head().instance;
  const auto membership = MembershipOf(head, aFleet);
  const auto phase = membership ? membership->phase : fleet::member_phase::joining;
  if (phase == fleet::member_phase::broken) {
    StartReleasing(aGroup, "head reports a broken group", aNow, aActions);
    return;
  }
  if (phase == fleet::member_phase::open) {
    aGroup.isOpenAccepted = false;
    if (aGroup.currentStage != managed_group::stage::serving) {
      aGroup.currentStage = managed_group::stage::serving;
      RecordDecision(record_decision::decision_kind::opened, aGroup, "", aActions);
    }
    const bool anyDraining =
      std::any_of(aGroup.members.begin(), aGroup.members.end(), [&](const managed_member& aMember) {
        const fleet::instance* entry = aFleet.Find(aMember.instance);
        return entry == nullptr || entry->draining;
      });
    if (anyDraining) {
      aGroup.currentStage = managed_group::stage::closing;
      aGroup.stageStartedAt = aNow;
      RecordDecision(record_decision::decision_kind::closing,
                     aGroup,
                     "a member is draining or no longer registered",
                     aActions);
    }
    return;
  }
  if (aGroup.currentStage == managed_group::stage::opening &&
      aNow - aGroup.stageStartedAt > kOpeningTimeout) {
    StartReleasing(aGroup, "head did not open in time", aNow, aActions);
    return;
  }
  const duration interval =
    aGroup.isOpenAccepted ? mService.engine->openTime + kMaxShowTime : mOptions.orderRetryInterval;
  if (IsDue(aGroup.openSentAt, interval, aNow) &&
      SendOrder(MakeOrder(aGroup, head, order_kind::open), aNow, aActions)) {
    aGroup.openSentAt = aNow;
  }
}

void
group_controller::AdvanceClosing(managed_group& aGroup,
                                 const fleet::fleet_view& aFleet,
                                 time_point aNow,
                                 actions& aActions)
{
  const instance_id head = aGroup.Head().instance;
  const auto membership = MembershipOf(head, aFleet);
  // A report from before the group was opened shows a ready head, too.
  const auto state = mInstanceStates.find(head);
  const bool hasReported = aGroup.closeSentAt && state != mInstanceStates.end() &&
                           state->second.lastReportAt >= *aGroup.closeSentAt;
  const bool closed = hasReported && IsMemberOf(aGroup.id, aGroup.epoch, head, aFleet) &&
                      membership->phase == fleet::member_phase::ready;
  if (closed) {
    // An earlier order to open may be on its way still; the head's leaving ends its effect.
    StartReleasing(aGroup, "closed", aNow, aActions);
    AdvanceReleasing(aGroup, aFleet, aNow, aActions);
    return;
  }
  if (membership && membership->phase == fleet::member_phase::broken) {
    StartReleasing(aGroup, "head reports a broken group", aNow, aActions);
    return;
  }
  if (aNow - aGroup.stageStartedAt > mOptions.closeTimeout) {
    StartReleasing(aGroup, "head did not close in time", aNow, aActions);
    return;
  }
  if (IsDue(aGroup.closeSentAt, mOptions.orderRetryInterval * 2, aNow) &&
      SendOrder(MakeOrder(aGroup, head, order_kind::close), aNow, aActions)) {
    aGroup.closeSentAt = aNow;
  }
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
    EndGroup(aGroup, "head left the group", aNow, aActions);
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
    EndGroup(aGroup, aCause, aNow, aActions);
  }
}

void
group_controller::ReleaseMembersOfEndedGroups(const fleet::fleet_view& aFleet,
                                              time_point aNow,
                                              actions& aActions)
{
  for (auto& [id, state] : mInstanceStates) {
    const auto membership = MembershipOf(id, aFleet);
    const bool isEnded =
      membership && mEndedGroups.count({ membership->group, membership->epoch }) != 0;
    // The report of one that has joined another group since may lag behind.
    if (!isEnded || state.IsInNoGroup() || FindGroupOf(id) != nullptr || state.missedReports > 0 ||
        !IsDue(state.endedGroupLeaveSentAt, mOptions.orderRetryInterval, aNow)) {
      continue;
    }
    engine_order order;
    order.kind = order_kind::leave;
    order.instance = id;
    order.group = membership->group;
    order.epoch = membership->epoch;
    if (SendOrder(std::move(order), aNow, aActions)) {
      state.endedGroupLeaveSentAt = aNow;
    }
  }
}

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

void
group_controller::EndGroup(managed_group& aGroup,
                           const std::string& aCause,
                           time_point aNow,
                           actions& aActions)
{
  RecordDecision(record_decision::decision_kind::freed, aGroup, aCause, aActions);
  mEndedGroups.emplace(aGroup.id, aGroup.epoch);
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

void
group_controller::HandleOrderOutcome(order_id aOrder, order_outcome aOutcome, time_point aNow)
{
  const auto pending = mPendingOrders.find(aOrder);
  if (pending == mPendingOrders.end()) {
    return;
  }
  const pending_order answered = pending->second;
  const engine_order& order = answered.order;
  mPendingOrders.erase(pending);
  const auto found = mInstanceStates.find(order.instance);
  if (found != mInstanceStates.end()) {
    RecordAcceptance(answered, aOutcome, found->second);
    found->second.nextProbeAt =
      std::min(found->second.nextProbeAt, aNow + mOptions.formingProbeInterval);
    if (order.kind == order_kind::stage && !IsSuccess(aOutcome)) {
      found->second.stagingModel = {};
      found->second.ineligibleUntil = aNow + mOptions.orderRetryInterval;
    }
  }
  managed_group* group = FindGroup(order.group, order.epoch);
  if (group == nullptr || group->members.empty()) {
    return;
  }
  if (order.kind == order_kind::open && IsSuccess(aOutcome)) {
    group->isOpenAccepted = true;
  }
  for (managed_member& member : group->members) {
    if (member.instance != order.instance) {
      continue;
    }
    if (order.kind == order_kind::join && IsSuccess(aOutcome)) {
      member.joinAccepted = true;
      member.isConfirmed = true;
    }
    if (order.kind == order_kind::leave && IsSuccess(aOutcome)) {
      member.hasLeft = true;
    }
  }
}

} // namespace persimmon::assembly
