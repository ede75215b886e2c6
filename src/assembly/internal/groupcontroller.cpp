#include "assembly/groupcontroller.h"

#include <algorithm>

namespace persimmon::assembly {
namespace {

/// With fewer instances, missing answers do not show that the connection of this process is faulty.
constexpr std::size_t kMinInstancesForQuorum = 4;

} // namespace

group_controller::group_controller(routes::service_profile aService, assembly_options aOptions)
  : mService(std::move(aService))
  , mOptions(aOptions)
{
}

void
group_controller::Configure(const routes::service_profile& aService)
{
  mService = aService;
}

void
group_controller::StartLeading(fencing_token aToken, time_point aNow)
{
  mIsLeading = true;
  mToken = aToken;
  mLeadingSince = aNow;
  mLastInstanceAddedAt = aNow;
  mLastGroupNumber = 0;
  mInstanceStates.clear();
  mGroups.clear();
  mEndedGroups.clear();
  mEndedGroupsWithHead.clear();
  mDomainAssignment.Clear();
  mMovedDomains.clear();
  mRebalancedAt = aNow;
  mHasTraffic = false;
  mDomainsAssignedAt = { INT64_MIN / 2 };
  mPendingOrders.clear();
}

void
group_controller::StopLeading()
{
  mIsLeading = false;
  mGroups.clear();
  mPendingOrders.clear();
}

managed_group*
group_controller::FindGroup(const group_id& aGroup, generation aEpoch)
{
  const auto found =
    std::find_if(mGroups.begin(), mGroups.end(), [&](const managed_group& aCandidate) {
      return aCandidate.id == aGroup && aCandidate.epoch == aEpoch;
    });
  return found == mGroups.end() ? nullptr : &*found;
}

const managed_group*
group_controller::FindGroupOf(const instance_id& aInstance) const
{
  for (const managed_group& group : mGroups) {
    for (const managed_member& member : group.members) {
      if (member.instance == aInstance) {
        return &group;
      }
    }
  }
  return nullptr;
}

bool
group_controller::IsUnresponsive(const instance_id& aInstance) const
{
  const auto found = mInstanceStates.find(aInstance);
  if (found == mInstanceStates.end()) {
    return true;
  }
  const instance_state& state = found->second;
  return state.missedReports >= (state.stallSuspected ? mOptions.missesUntilUnresponsiveIfSuspected
                                                      : mOptions.missesUntilUnresponsive);
}

std::vector<assembly_action>
group_controller::Reconcile(const fleet::fleet_view& aFleet, time_point aNow)
{
  actions result;
  if (!mIsLeading || !mService.engine) {
    return result;
  }
  UpdateInstanceStates(aFleet, aNow);
  AdoptGroups(aFleet, aNow, result);
  ProbeInstances(aNow, result);
  if (LacksQuorum(aFleet)) {
    mLastWithoutQuorumAt = aNow;
  } else {
    for (managed_group& group : mGroups) {
      AdvanceGroup(group, aFleet, aNow, result);
    }
    std::erase_if(mGroups,
                  [](const managed_group& aCandidate) { return aCandidate.members.empty(); });
    ReleaseMembersOfEndedGroups(aFleet, aNow, result);
    Rebalance(aFleet, aNow, result);
    FormGroups(aFleet, aNow, result);
  }
  return result;
}

void
group_controller::UpdateInstanceStates(const fleet::fleet_view& aFleet, time_point aNow)
{
  for (const fleet::instance* instance : aFleet.InstancesOfService(mService.name)) {
    const auto [entry, added] = mInstanceStates.try_emplace(instance->id);
    instance_state& state = entry->second;
    mLastInstanceAddedAt = added ? aNow : mLastInstanceAddedAt;
    if (instance->incarnationId > state.incarnationId) {
      state = {};
      state.incarnationId = instance->incarnationId;
      state.nextProbeAt = aNow;
    }
    state.address = instance->address;
    state.zone = instance->zone;
    state.hasDrained = state.hasDrained || instance->draining;
    if (instance->membership) {
      mHighestEpoch = std::max(mHighestEpoch, instance->membership->epoch.value);
    }
  }
  std::erase_if(mInstanceStates, [&](const auto& aEntry) {
    return FindGroupOf(aEntry.first) == nullptr && aFleet.Find(aEntry.first) == nullptr;
  });
}

duration
group_controller::ProbeInterval(const instance_id& aInstance) const
{
  const managed_group* group = FindGroupOf(aInstance);
  if (group == nullptr) {
    return mOptions.probeInterval;
  }
  if (group->currentStage != managed_group::stage::serving) {
    return mOptions.formingProbeInterval;
  }
  const bool isHead = group->Head().instance == aInstance;
  const auto headCount = static_cast<double>(mGroups.size());
  const double probedCount =
    isHead ? headCount : static_cast<double>(mInstanceStates.size()) - headCount;
  const duration rateLimited{ static_cast<std::int64_t>(1000 * probedCount /
                                                        mOptions.maxProbesPerSecond) };
  return std::clamp(rateLimited, mOptions.probeInterval, mOptions.maxProbeInterval);
}

void
group_controller::ProbeInstances(time_point aNow, actions& aActions)
{
  std::vector<std::pair<time_point, const instance_id*>> due;
  for (const auto& [id, state] : mInstanceStates) {
    if (!state.probePending && state.nextProbeAt <= aNow) {
      due.emplace_back(state.nextProbeAt, &id);
    }
  }
  const std::size_t taken = TakeProbes(due.size(), aNow);
  if (taken < due.size()) {
    std::stable_sort(due.begin(), due.end(), [](const auto& aFirst, const auto& aSecond) {
      return aFirst.first < aSecond.first;
    });
    due.resize(taken);
  }
  for (const auto& [dueSince, id] : due) {
    instance_state& state = mInstanceStates.at(*id);
    state.probePending = true;
    aActions.push_back(probe_instance{ *id, state.address });
  }
}

std::size_t
group_controller::TakeProbes(std::size_t aWanted, time_point aNow)
{
  if (mOptions.maxProbesInAllPerSecond <= 0) {
    return aWanted;
  }
  constexpr double kMsPerSecond = 1000;
  constexpr double kMostAtOnceSeconds = 0.1;
  const double elapsed = static_cast<double>((aNow - mProbesFilledAt).ms) / kMsPerSecond;
  mProbesLeft = std::min(mProbesLeft + elapsed * mOptions.maxProbesInAllPerSecond,
                         kMostAtOnceSeconds * mOptions.maxProbesInAllPerSecond);
  mProbesFilledAt = aNow;
  const auto taken = std::min(aWanted, static_cast<std::size_t>(std::max(mProbesLeft, 0.0)));
  mProbesLeft -= static_cast<double>(taken);
  return taken;
}

void
group_controller::HandleReport(const instance_id& aInstance,
                               const fleet::report_result& aResult,
                               time_point aNow)
{
  const auto found = mInstanceStates.find(aInstance);
  if (found == mInstanceStates.end()) {
    return;
  }
  instance_state& state = found->second;
  state.probePending = false;
  const auto& report = aResult.report;
  if (!report && aResult.failure == fleet::report_failure::inconclusive) {
    state.nextProbeAt = aNow + mOptions.probeRetryDelay;
    return;
  }
  if (!report) {
    state.silentSince = state.missedReports == 0 ? aNow : state.silentSince;
    ++state.missedReports;
    state.provedLosses = fleet::ProvesLoss(aResult.failure) ? state.provedLosses + 1 : 0;
    const bool isUnreachable = aResult.failure == fleet::report_failure::unreachable;
    state.unreachableSince =
      isUnreachable ? std::optional(state.unreachableSince.value_or(aNow)) : std::nullopt;
    state.nextProbeAt = aNow + mOptions.probeRetryDelay;
    return;
  }
  if (report->incarnationId > state.incarnationId) {
    const endpoint address = state.address;
    state = {};
    state.incarnationId = report->incarnationId;
    state.address = address;
  }
  state.report = report;
  mHasTraffic = mHasTraffic || report->running > 0 || report->queued > 0;
  if (state.mustReportOrders) {
    // What was believed before the rejection may have been too much.
    state.acceptedOrders = report->acceptedOrders;
    state.ordersWithoutGroup.reset();
    state.mustReportOrders = false;
  }
  state.acceptedOrders = std::max(state.acceptedOrders.value_or(0), report->acceptedOrders);
  if (!report->membership) {
    state.ordersWithoutGroup =
      std::max(state.ordersWithoutGroup.value_or(0), report->acceptedOrders);
  } else if (report->acceptedOrders >= *state.acceptedOrders) {
    state.ordersWithoutGroup.reset();
  }
  const bool isFirstAnswer = state.missedReports > 0 || state.lastReportAt < mLeadingSince;
  state.answeringSince = isFirstAnswer ? aNow : state.answeringSince;
  state.lastReportAt = aNow;
  state.missedReports = 0;
  state.provedLosses = 0;
  state.unreachableSince.reset();
  state.stallSuspected = false;
  state.nextProbeAt = aNow + ProbeInterval(aInstance);
  if (report->membership) {
    mHighestEpoch = std::max(mHighestEpoch, report->membership->epoch.value);
  }
}

void
group_controller::RecordActivity(const instance_id& aHead, time_point aAt)
{
  const auto found = mInstanceStates.find(aHead);
  if (found != mInstanceStates.end()) {
    found->second.lastActivityAt = std::max(found->second.lastActivityAt, aAt);
  }
}

void
group_controller::SuspectGroup(const group_id& aGroup, generation aEpoch, time_point aNow)
{
  const managed_group* group = FindGroup(aGroup, aEpoch);
  if (group == nullptr) {
    return;
  }
  for (const managed_member& member : group->members) {
    const auto found = mInstanceStates.find(member.instance);
    if (found != mInstanceStates.end()) {
      found->second.stallSuspected = true;
      found->second.nextProbeAt = std::min(found->second.nextProbeAt, aNow);
    }
  }
}

bool
group_controller::LacksQuorum(const fleet::fleet_view& aFleet) const
{
  std::size_t probedCount = 0;
  std::size_t unansweredCount = 0;
  for (const auto& [id, state] : mInstanceStates) {
    if (aFleet.Find(id) != nullptr) {
      ++probedCount;
      unansweredCount += state.missedReports > 0 ? 1 : 0;
    }
  }
  const double answeringCount = static_cast<double>(probedCount - unansweredCount);
  return probedCount >= kMinInstancesForQuorum &&
         answeringCount < mOptions.minReachableFraction * static_cast<double>(probedCount);
}

void
group_controller::RecordDecision(record_decision::decision_kind aDecision,
                                 const managed_group& aGroup,
                                 const std::string& aCause,
                                 actions& aActions) const
{
  aActions.push_back(record_decision{ aDecision, aGroup.id, aGroup.epoch, aGroup.model, aCause });
}

} // namespace persimmon::assembly
