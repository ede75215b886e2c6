#include "assembly/groupcontroller.h"

#include <algorithm>

namespace persimmon::assembly {
namespace {

/// An answer given this long after an order tells whether the order was carried out.
constexpr duration kOrderSettleTime = 700_ms;
/// Shortest time that a formation gets.
constexpr duration kMinFormingTimeout = 5_s;
/// Longest time from the order to open until the head takes requests.
constexpr duration kOpeningTimeout = 5_s;
/// A group whose instances are all gone is forgotten after this time.
constexpr duration kUnregisteredGroupTimeout = 20_s;

bool
IsDue(const std::optional<time_point>& aLast, duration aInterval, time_point aNow)
{
  return !aLast || aNow - *aLast >= aInterval;
}

bool
IsSuccess(order_outcome aOutcome)
{
  return aOutcome == order_outcome::begun || aOutcome == order_outcome::done;
}

/// Returns an order about a formation to one of its members.
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
  const auto state = mInstanceStates.find(aInstance);
  const fleet::instance* entry = aFleet.Find(aInstance);
  auto registered = entry == nullptr ? std::nullopt : entry->membership;
  if (state == mInstanceStates.end() || !state->second.report) {
    return registered;
  }
  // What an instance answers is newer than its entry, which lags, but for progress in one group.
  const auto& answered = state->second.report->membership;
  const bool same = answered && registered && answered->group == registered->group &&
                    answered->epoch == registered->epoch &&
                    entry->incarnationId == state->second.incarnationId;
  return same && registered->phase > answered->phase ? registered : answered;
}

bool
group_controller::IsMemberOf(const group_id& aGroup,
                             generation aEpoch,
                             const instance_id& aInstance,
                             const fleet::fleet_view& aFleet) const
{
  const auto member = MembershipOf(aInstance, aFleet);
  return member && member->group == aGroup && member->epoch == aEpoch;
}

std::string
group_controller::LossCause(const managed_group& aGroup,
                            const managed_member& aMember,
                            const fleet::fleet_view& aFleet) const
{
  const auto found = mInstanceStates.find(aMember.instance);
  if (found == mInstanceStates.end()) {
    return "unknown instance " + aMember.instance.value;
  }
  const instance_state& state = found->second;
  if (state.incarnationId > aMember.incarnationId) {
    return "restarted " + aMember.instance.value;
  }
  if (IsUnresponsive(aMember.instance)) {
    return "no answer from " + aMember.instance.value;
  }
  const bool settled = aMember.joinAccepted && aMember.joinSentAt &&
                       state.lastReportAt > *aMember.joinSentAt + kOrderSettleTime;
  if (settled && !IsMemberOf(aGroup.id, aGroup.epoch, aMember.instance, aFleet)) {
    return "left " + aMember.instance.value;
  }
  return {};
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
  for (const managed_member& member : aGroup.members) {
    const std::string cause = LossCause(aGroup, member, aFleet);
    if (cause.empty()) {
      continue;
    }
    if (aGroup.currentStage == managed_group::stage::forming) {
      RecordDecision(record_decision::decision_kind::abandoned, aGroup, cause, aActions);
      EndGroup(aGroup, cause, aNow, aActions);
    } else {
      StartReleasing(aGroup, cause, aNow, aActions);
    }
    return;
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
group_controller::AdvanceForming(managed_group& aGroup,
                                 const fleet::fleet_view& aFleet,
                                 time_point aNow,
                                 actions& aActions)
{
  const routes::model_profile* model = mService.engine->FindModel(aGroup.model);
  const duration expected = model == nullptr ? duration{} : model->loadTime;
  bool ready = true;
  for (managed_member& member : aGroup.members) {
    const auto membership = MembershipOf(member.instance, aFleet);
    if (IsMemberOf(aGroup.id, aGroup.epoch, member.instance, aFleet)) {
      member.joinAccepted = true;
      member.hasBeenReady = membership->phase != fleet::member_phase::joining;
    }
    ready = ready && member.hasBeenReady;
    if (!member.joinAccepted && IsDue(member.joinSentAt, mOptions.orderRetryInterval, aNow)) {
      member.joinSentAt = aNow;
      engine_order order = MakeOrder(aGroup, member.instance, order_kind::join);
      order.model = aGroup.model;
      for (const managed_member& other : aGroup.members) {
        order.members.push_back(other.instance);
      }
      SendOrder(std::move(order), aNow, aActions);
    }
  }
  if (ready) {
    aGroup.currentStage = managed_group::stage::opening;
    aGroup.stageStartedAt = aNow;
    AdvanceOpeningOrServing(aGroup, aFleet, aNow, aActions);
    return;
  }
  if (aNow - aGroup.stageStartedAt >
      kMinFormingTimeout + expected * mOptions.formingTimeoutFactor) {
    RecordDecision(record_decision::decision_kind::abandoned, aGroup, "takes too long", aActions);
    EndGroup(aGroup, "takes too long", aNow, aActions);
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
    StartReleasing(aGroup, "head reports broken", aNow, aActions);
    return;
  }
  if (phase == fleet::member_phase::open) {
    if (aGroup.currentStage != managed_group::stage::serving) {
      aGroup.currentStage = managed_group::stage::serving;
      RecordDecision(record_decision::decision_kind::opened, aGroup, "", aActions);
    }
    const bool leaving =
      std::any_of(aGroup.members.begin(), aGroup.members.end(), [&](const managed_member& aMember) {
        const fleet::instance* entry = aFleet.Find(aMember.instance);
        return entry == nullptr || entry->draining;
      });
    if (leaving) {
      aGroup.currentStage = managed_group::stage::closing;
      aGroup.stageStartedAt = aNow;
      RecordDecision(record_decision::decision_kind::closing, aGroup, "a member leaves", aActions);
    }
    return;
  }
  if (aGroup.currentStage == managed_group::stage::opening &&
      aNow - aGroup.stageStartedAt > kOpeningTimeout) {
    StartReleasing(aGroup, "does not open", aNow, aActions);
    return;
  }
  if (IsDue(aGroup.openSentAt, mOptions.orderRetryInterval, aNow)) {
    aGroup.openSentAt = aNow;
    SendOrder(MakeOrder(aGroup, head, order_kind::open), aNow, aActions);
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
  const bool closed = aGroup.closeSentAt && IsMemberOf(aGroup.id, aGroup.epoch, head, aFleet) &&
                      membership->phase == fleet::member_phase::ready;
  if (closed) {
    EndGroup(aGroup, "closed", aNow, aActions);
    return;
  }
  if (membership && membership->phase == fleet::member_phase::broken) {
    StartReleasing(aGroup, "head reports broken", aNow, aActions);
    return;
  }
  if (aNow - aGroup.stageStartedAt > mOptions.closeTimeout) {
    StartReleasing(aGroup, "does not close", aNow, aActions);
    return;
  }
  if (IsDue(aGroup.closeSentAt, mOptions.orderRetryInterval * 2, aNow)) {
    aGroup.closeSentAt = aNow;
    SendOrder(MakeOrder(aGroup, head, order_kind::close), aNow, aActions);
  }
}

bool
group_controller::HasLeft(const managed_group& aGroup,
                          const managed_member& aMember,
                          const fleet::fleet_view& aFleet) const
{
  const auto state = mInstanceStates.find(aMember.instance);
  if (aMember.hasLeft || state == mInstanceStates.end()) {
    return aMember.hasLeft;
  }
  if (state->second.incarnationId > aMember.incarnationId) {
    return true;
  }
  const bool answered =
    state->second.missedReports == 0 && state->second.lastReportAt > aGroup.stageStartedAt;
  return answered && !IsMemberOf(aGroup.id, aGroup.epoch, aMember.instance, aFleet);
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
  if (aGroup.Head().hasLeft) {
    EndGroup(aGroup, "head left", aNow, aActions);
    return;
  }
  // A head that cannot be seen may live; whoever has left it for sure is bound no more.
  const instance_id head = aGroup.Head().instance;
  std::erase_if(aGroup.members, [&](const managed_member& aMember) {
    const bool leaves = aMember.hasLeft && aMember.instance != head;
    if (leaves) {
      FreeMember(aGroup, aMember, aNow);
    }
    return leaves;
  });
  bool anyKnown = false;
  for (managed_member& member : aGroup.members) {
    anyKnown = anyKnown || aFleet.Find(member.instance) != nullptr;
    const bool wanted = member.instance == head || IsUnresponsive(head);
    if (!wanted || !IsDue(member.leaveSentAt, mOptions.orderRetryInterval, aNow)) {
      continue;
    }
    member.leaveSentAt = aNow;
    SendOrder(MakeOrder(aGroup, member.instance, order_kind::leave), aNow, aActions);
  }
  if (!anyKnown && aNow - aGroup.stageStartedAt > kUnregisteredGroupTimeout) {
    EndGroup(aGroup, "all members gone", aNow, aActions);
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
group_controller::FreeMember(const managed_group& aGroup,
                             const managed_member& aMember,
                             time_point aNow)
{
  const auto state = mInstanceStates.find(aMember.instance);
  if (state == mInstanceStates.end() || state->second.incarnationId != aMember.incarnationId) {
    return;
  }
  if (aMember.hasBeenReady) {
    state->second.lastGroupModel = aGroup.model;
  }
  state->second.nextProbeAt = aNow;
}

void
group_controller::HandleOrderOutcome(order_id aOrder, order_outcome aOutcome, time_point aNow)
{
  const auto given = mPendingOrders.find(aOrder);
  if (given == mPendingOrders.end()) {
    return;
  }
  const engine_order order = given->second.order;
  mPendingOrders.erase(given);
  const auto state = mInstanceStates.find(order.instance);
  if (state != mInstanceStates.end()) {
    state->second.nextProbeAt =
      std::min(state->second.nextProbeAt, aNow + mOptions.formingProbeInterval);
    if (order.kind == order_kind::stage && !IsSuccess(aOutcome)) {
      state->second.stagingModel = {};
      state->second.ineligibleUntil = aNow + mOptions.orderRetryInterval;
    }
  }
  managed_group* group = FindGroup(order.group, order.epoch);
  if (group == nullptr || group->members.empty()) {
    return;
  }
  for (managed_member& member : group->members) {
    if (member.instance != order.instance) {
      continue;
    }
    if (order.kind == order_kind::join && IsSuccess(aOutcome)) {
      member.joinAccepted = true;
    }
    if (order.kind == order_kind::leave && IsSuccess(aOutcome)) {
      member.hasLeft = true;
    }
  }
}

} // namespace persimmon::assembly
