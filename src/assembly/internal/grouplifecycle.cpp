#include "assembly/groupcontroller.h"
#include "assembly/internal/grouporders.h"

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
/// Longest time until a report shows that the head is open, from the time at which it is.
constexpr duration kMaxShowTime = 700_ms;

/// Returns true when a member takes no order of former leaders once its group is open, where
/// engines check tokens: it has accepted one of this leader, or is the head, which will with the
/// order to open.
bool
IsBoundToLeader(const managed_group& aGroup, const managed_member& aMember)
{
  const bool isHead = &aMember == &aGroup.Head();
  return !aGroup.isAdopted || aMember.isConfirmed || isHead;
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
    if (!member.joinAccepted && MayBeInGroup(member.instance, aFleet)) {
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

} // namespace persimmon::assembly
