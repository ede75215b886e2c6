#include "assembly/groupcontroller.h"

#include <algorithm>
#include <fmt/format.h>

// What shows that a member of a group is lost.

namespace persimmon::assembly {
namespace {

/// A report that arrives at least this long after an order shows whether the order was executed.
constexpr duration kOrderSettleTime = 700_ms;
/// Time for which an instance must have answered to show that this process reaches the others of
/// its group as well, so that those which do not answer are not merely probed a little later.
constexpr duration kMinAnsweringTime = 1_s;
/// Longest time by which the load in a report lags behind.
constexpr duration kMaxReportLag = 700_ms;

} // namespace

duration
group_controller::TimeWithoutSign(const managed_group& aGroup,
                                  const instance_state& aState,
                                  time_point aSince,
                                  time_point aNow) const
{
  if (aState.missedReports < mOptions.missesUntilUnresponsive) {
    return {};
  }
  const auto head = mInstanceStates.find(aGroup.Head().instance);
  const time_point activeAt = head == mInstanceStates.end() ? aSince : head->second.lastActivityAt;
  return aNow - std::max(aSince, activeAt);
}

bool
group_controller::RunsNothing(const managed_group& aGroup, time_point aSince) const
{
  const auto found = mInstanceStates.find(aGroup.Head().instance);
  if (found == mInstanceStates.end() || found->second.missedReports > 0 || !found->second.report) {
    return false;
  }
  const instance_state& head = found->second;
  return head.lastReportAt >= aSince + kMaxReportLag && head.report->running == 0 &&
         head.report->queued == 0;
}

bool
group_controller::IsLeaving(const instance_state& aState, const fleet::instance* aEntry)
{
  // An instance that leaves as planned stops listening before its group has finished. One whose
  // entry goes without notice may do the same.
  return aEntry == nullptr ? aState.provedLosses > 0 : aEntry->draining;
}

bool
group_controller::HasSurvivor(const managed_group& aGroup, time_point aNow) const
{
  return std::any_of(
    aGroup.members.begin(), aGroup.members.end(), [&](const managed_member& aMember) {
      const auto found = mInstanceStates.find(aMember.instance);
      return found != mInstanceStates.end() && found->second.missedReports == 0 &&
             found->second.answeringSince <= aNow - kMinAnsweringTime;
    });
}

std::string
group_controller::SilenceCause(const managed_group& aGroup,
                               const instance_id& aMember,
                               const fleet::fleet_view& aFleet,
                               time_point aNow) const
{
  const instance_state& state = mInstanceStates.at(aMember);
  const bool runsNothing =
    aGroup.currentStage == managed_group::stage::forming && !aGroup.isAdopted;
  if (runsNothing && IsUnresponsive(aMember)) {
    return "instance " + aMember.value + " does not answer";
  }
  const fleet::instance* entry = aFleet.Find(aMember);
  if (IsLeaving(state, entry) || !HasSurvivor(aGroup, aNow)) {
    return {};
  }
  if (entry != nullptr && state.unreachableSince) {
    const time_point since = *state.unreachableSince;
    const bool runsNothingNow = RunsNothing(aGroup, since);
    const duration unreachable = TimeWithoutSign(aGroup, state, since, aNow);
    const duration limit = runsNothingNow
                             ? mOptions.unreachableUntilLostIfIdle
                             : std::max(mOptions.unreachableUntilLost, mCallerPatience);
    if (unreachable >= limit) {
      return fmt::format("instance {} has accepted no connection for {} ms{}",
                         aMember.value,
                         unreachable.ms,
                         runsNothingNow ? ", and its group runs nothing" : "");
    }
  }
  const duration silence = TimeWithoutSign(aGroup, state, state.silentSince, aNow);
  if (silence >= std::max(mOptions.silenceUntilLost, mCallerPatience)) {
    return fmt::format("instance {} has not answered for {} ms", aMember.value, silence.ms);
  }
  return {};
}

std::string
group_controller::ProvedLossCause(const managed_group& aGroup,
                                  const managed_member& aMember,
                                  const fleet::fleet_view& aFleet) const
{
  const auto found = mInstanceStates.find(aMember.instance);
  if (found == mInstanceStates.end()) {
    return "instance " + aMember.instance.value + " is unknown";
  }
  const instance_state& state = found->second;
  if (state.incarnationId > aMember.incarnationId) {
    return "instance " + aMember.instance.value + " restarted";
  }
  const fleet::instance* entry = aFleet.Find(aMember.instance);
  const bool noLongerListens = state.provedLosses >= mOptions.provedLossesUntilLost;
  if (noLongerListens && !IsLeaving(state, entry)) {
    return "instance " + aMember.instance.value + " no longer runs at its address";
  }
  if (noLongerListens && entry == nullptr && state.hasDrained) {
    return "instance " + aMember.instance.value + " has left";
  }
  const bool joinSettled = aMember.joinAccepted && aMember.joinSentAt &&
                           state.lastReportAt > *aMember.joinSentAt + kOrderSettleTime;
  if (joinSettled && !IsMemberOf(aGroup.id, aGroup.epoch, aMember.instance, aFleet)) {
    return "instance " + aMember.instance.value + " left the group";
  }
  return {};
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

} // namespace persimmon::assembly
