#include "assembly/groupcontroller.h"

#include <algorithm>

namespace persimmon::assembly {
namespace {

/// Fewer instances than this prove nothing about the own connection.
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
  mDomainAssignment.Clear();
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
  return state.missedReports >=
         (state.stallSuspected ? mOptions.missesUntilLostIfSuspected : mOptions.missesUntilLost);
}

std::vector<assembly_action>
group_controller::Reconcile(const fleet::fleet_view& aFleet, time_point aNow)
{
  actions requested;
  if (!mIsLeading || !mService.engine) {
    return requested;
  }
  UpdateInstanceStates(aFleet, aNow);
  AdoptGroups(aFleet, aNow, requested);
  ProbeInstances(aNow, requested);
  if (!LacksQuorum(aFleet)) {
    for (managed_group& group : mGroups) {
      AdvanceGroup(group, aFleet, aNow, requested);
    }
    std::erase_if(mGroups,
                  [](const managed_group& aCandidate) { return aCandidate.members.empty(); });
    FormGroups(aFleet, aNow, requested);
  }
  return requested;
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
  const auto heads = static_cast<double>(mGroups.size());
  const double asked = isHead ? heads : static_cast<double>(mInstanceStates.size()) - heads;
  const duration spread{ static_cast<std::int64_t>(1000 * asked / mOptions.maxProbesPerSecond) };
  return std::clamp(spread, mOptions.probeInterval, mOptions.maxProbeInterval);
}

void
group_controller::ProbeInstances(time_point aNow, actions& aActions)
{
  for (auto& [id, state] : mInstanceStates) {
    if (!state.probePending && state.nextProbeAt <= aNow) {
      state.probePending = true;
      aActions.push_back(probe_instance{ id, state.address });
    }
  }
}

void
group_controller::HandleReport(const instance_id& aInstance,
                               const std::optional<fleet::engine_report>& aReport,
                               time_point aNow)
{
  const auto found = mInstanceStates.find(aInstance);
  if (found == mInstanceStates.end()) {
    return;
  }
  instance_state& state = found->second;
  state.probePending = false;
  if (!aReport) {
    ++state.missedReports;
    state.nextProbeAt = aNow + mOptions.probeRetryDelay;
    return;
  }
  if (aReport->incarnationId > state.incarnationId) {
    const endpoint address = state.address;
    state = {};
    state.incarnationId = aReport->incarnationId;
    state.address = address;
  }
  state.report = aReport;
  state.lastReportAt = aNow;
  state.missedReports = 0;
  state.stallSuspected = false;
  state.nextProbeAt = aNow + ProbeInterval(aInstance);
  if (aReport->membership) {
    mHighestEpoch = std::max(mHighestEpoch, aReport->membership->epoch.value);
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
  std::size_t asked = 0;
  std::size_t silent = 0;
  for (const auto& [id, state] : mInstanceStates) {
    if (aFleet.Find(id) != nullptr) {
      ++asked;
      silent += state.missedReports > 0 ? 1 : 0;
    }
  }
  const double answering = static_cast<double>(asked - silent);
  return asked >= kMinInstancesForQuorum &&
         answering < mOptions.minReachableFraction * static_cast<double>(asked);
}

void
group_controller::AdoptGroups(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions)
{
  for (const fleet::engine_group& group : aFleet.GroupsOfService(mService)) {
    const bool ended = mEndedGroups.count({ group.id, group.epoch }) != 0;
    if (!ended && FindGroup(group.id, group.epoch) == nullptr) {
      AdoptGroup(group, aFleet, aNow, aActions);
    }
  }
}

void
group_controller::AdoptGroup(const fleet::engine_group& aGroup,
                             const fleet::fleet_view& aFleet,
                             time_point aNow,
                             actions& aActions)
{
  // A group that was let go may still be told of by entries that lag behind.
  const bool fresh =
    std::all_of(aGroup.members.begin(), aGroup.members.end(), [&](const instance_id& aId) {
      const auto found = mInstanceStates.find(aId);
      return found != mInstanceStates.end() && found->second.lastReportAt > mLeadingSince &&
             IsMemberOf(aGroup.id, aGroup.epoch, aId, aFleet);
    });
  const bool taken =
    std::any_of(aGroup.members.begin(), aGroup.members.end(), [this](const instance_id& aId) {
      return FindGroupOf(aId) != nullptr;
    });
  const bool waited = aNow - mLeadingSince > mOptions.adoptionGracePeriod;
  if (taken || (!aGroup.complete && !waited) || (!fresh && !waited)) {
    return;
  }
  managed_group adopted;
  adopted.id = aGroup.id;
  adopted.epoch = aGroup.epoch;
  adopted.model = aGroup.model;
  adopted.stageStartedAt = aNow;
  const fleet::instance* first = aFleet.Find(aGroup.members.front());
  if (first->membership->rank != 0) {
    // The head is not known: it may live and serve where this process cannot see it.
    adopted.members.push_back({});
  }
  for (const instance_id& id : aGroup.members) {
    const fleet::instance* member = aFleet.Find(id);
    const bool ready = member->membership->phase != fleet::member_phase::joining;
    adopted.members.push_back({ id, member->incarnationId, true, ready, false, aNow, false, {} });
  }
  switch (aGroup.headPhase) {
    case fleet::member_phase::open:
      adopted.currentStage = managed_group::stage::serving;
      break;
    case fleet::member_phase::closing:
      adopted.currentStage = managed_group::stage::closing;
      break;
    case fleet::member_phase::joining:
    case fleet::member_phase::ready:
      adopted.currentStage = managed_group::stage::forming;
      break;
    case fleet::member_phase::broken:
      adopted.currentStage = managed_group::stage::releasing;
      break;
  }
  if (!aGroup.complete) {
    adopted.currentStage = managed_group::stage::releasing;
  }
  RecordDecision(
    record_decision::decision_kind::adopted, adopted, StageName(adopted.currentStage), aActions);
  mGroups.push_back(std::move(adopted));
}

void
group_controller::SendOrder(engine_order aOrder, time_point aNow, actions& aActions)
{
  const auto state = mInstanceStates.find(aOrder.instance);
  if (state == mInstanceStates.end()) {
    return;
  }
  const order_id id{ ++mLastOrderId };
  aOrder.token = mToken;
  mPendingOrders[id] = { aOrder, aNow };
  aActions.push_back(send_order{ id, state->second.address, std::move(aOrder) });
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
