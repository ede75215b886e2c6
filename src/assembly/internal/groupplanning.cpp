#include "assembly/groupcontroller.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace persimmon::assembly {
namespace {

/// An instance without a report within this time is not selected for a group.
constexpr duration kMaxReportAge = 2_s;
/// Number of epochs reserved for each fencing token, so that the epochs of a later leader are
/// higher than those of a former one.
constexpr std::uint64_t kEpochsPerToken = 100000;
/// Timeout of staging, as a multiple of the time to load the model.
constexpr std::int64_t kStagingTimeoutFactor = 4;
/// Cost of each member that a domain lacks for a complete group, relative to the supply of its
/// model per instance.
constexpr double kMissingMemberCost = 0.15;
/// An instance whose slowdown factor is higher is selected last.
constexpr double kSlowInstanceThreshold = 1.5;

/// Gain of the first spare instance relative to that of a complete group: the spare saves a load
/// when a member is lost. The gain of each further spare is lower by the same factor.
constexpr double kSpareGain = 0.5;

/// Time between two domains that are given to other models, and from the start of leadership to the
/// first: demand is known by then.
constexpr duration kRebalanceInterval = 5_s;

/// Minimum interval between two checks for changes of the idle instances.
constexpr duration kMinIdleRecordInterval = 1_s;

using instance_list = std::vector<const fleet::instance*>;

/// Returns the instances of each domain.
std::map<domain_id, instance_list>
InstancesByDomain(const instance_list& aInstances)
{
  std::map<domain_id, instance_list> domains;
  for (const fleet::instance* instance : aInstances) {
    domains[instance->domain].push_back(instance);
  }
  return domains;
}

/// Returns the fraction of a group of aGroupSize members that the load of each of aColdCount
/// instances gains, in the order in which they load, when aSurplusCount instances that do not fill
/// a group already hold the weights.
std::vector<double>
GroupFractionPerLoad(std::size_t aColdCount, std::size_t aSurplusCount, std::size_t aGroupSize)
{
  std::vector<double> fractions;
  std::size_t spareCount = aSurplusCount;
  std::size_t missingMembers = aGroupSize - aSurplusCount;
  while (aColdCount - fractions.size() >= missingMembers) {
    fractions.insert(fractions.end(), missingMembers, 1 / static_cast<double>(missingMembers));
    spareCount = 0;
    missingMembers = aGroupSize;
  }
  while (fractions.size() < aColdCount) {
    fractions.push_back(std::pow(kSpareGain, static_cast<double>(++spareCount)));
  }
  return fractions;
}

} // namespace

std::vector<const fleet::instance*>
group_controller::FreeInstances(const fleet::fleet_view& aFleet, time_point aNow) const
{
  instance_list freeInstances;
  for (const fleet::instance* instance : aFleet.InstancesOfService(mService.name)) {
    const auto found = mInstanceStates.find(instance->id);
    if (found == mInstanceStates.end() || instance->draining ||
        mEmptiedZones.count(instance->zone) != 0 || MayBeInGroup(instance->id, aFleet)) {
      continue;
    }
    const instance_state& state = found->second;
    const bool responsive = state.missedReports == 0 && state.lastReportAt > mLeadingSince &&
                            aNow - state.lastReportAt < kMaxReportAge &&
                            state.incarnationId == instance->incarnationId;
    if (responsive && FindGroupOf(instance->id) == nullptr && state.ineligibleUntil <= aNow) {
      freeInstances.push_back(instance);
    }
  }
  return freeInstances;
}

bool
group_controller::MayBeInGroup(const instance_id& aInstance, const fleet::fleet_view& aFleet) const
{
  const auto found = mInstanceStates.find(aInstance);
  if (found == mInstanceStates.end() || found->second.IsInNoGroup()) {
    return found == mInstanceStates.end();
  }
  const auto membership = MembershipOf(aInstance, aFleet);
  if (!membership) {
    return true;
  }
  const std::pair group(membership->group, membership->epoch);
  const auto ended = mEndedGroups.find(group);
  const bool hasHeadLeft = ended != mEndedGroups.end() && ended->second;
  return !hasHeadLeft || mEndedGroupsWithHead.count(group) != 0;
}

bool
group_controller::HoldsWeights(const fleet::instance& aInstance,
                               const routes::model_name& aModel) const
{
  const auto found = mInstanceStates.find(aInstance.id);
  const bool usedLast = found != mInstanceStates.end() && found->second.lastGroupModel == aModel;
  const auto& stagedModels = aInstance.stagedModels;
  return usedLast ||
         std::find(stagedModels.begin(), stagedModels.end(), aModel) != stagedModels.end();
}

double
group_controller::DemandShare(const routes::model_name& aModel) const
{
  const routes::engine_profile& engine = *mService.engine;
  double total = 0;
  double modelDemand = 0;
  for (const routes::model_profile& model : engine.models) {
    const auto found = mDemandByModel.find(model.name);
    const double demand = found == mDemandByModel.end() ? model.initialDemandShare : found->second;
    total += demand;
    modelDemand += model.name == aModel ? demand : 0;
  }
  return total > 0 ? modelDemand / total : 1;
}

double
group_controller::RelativeSupply(const routes::model_name& aModel) const
{
  double supply = 0;
  for (const managed_group& group : mGroups) {
    const bool answers = std::any_of(
      group.members.begin(), group.members.end(), [this](const managed_member& aMember) {
        return !IsUnresponsive(aMember.instance) &&
               mEmptiedZones.count(mInstanceStates.at(aMember.instance).zone) == 0;
      });
    if (group.model == aModel && group.currentStage != managed_group::stage::releasing && answers) {
      supply += static_cast<double>(group.members.size());
    }
  }
  for (const auto& [id, state] : mInstanceStates) {
    supply += state.stagingModel == aModel ? 1 : 0;
  }
  return supply / std::max(DemandShare(aModel), 1e-6);
}

std::size_t
group_controller::CountRunningLoads(time_point aNow) const
{
  std::size_t runningLoads = 0;
  for (const managed_group& group : mGroups) {
    for (const managed_member& member : group.members) {
      runningLoads += member.needsLoad && !member.hasBeenReady ? 1 : 0;
    }
  }
  for (const auto& [id, state] : mInstanceStates) {
    runningLoads += !state.stagingModel.Empty() && state.stagingDeadline > aNow ? 1 : 0;
  }
  return runningLoads;
}

double
group_controller::AvailableLoadTokens(std::size_t aCount, time_point aNow) const
{
  const double elapsedSeconds = static_cast<double>((aNow - mLoadTokensAt).ms) / 1000;
  const double capacity = std::max(mOptions.maxLoadBurst, static_cast<double>(aCount));
  return std::min(capacity,
                  mLoadTokens + std::max(elapsedSeconds, 0.0) * mService.engine->loadsPerSecond);
}

bool
group_controller::MayStartLoads(std::size_t aCount, time_point aNow) const
{
  // Loads are not limited as long as there is no demand, of this process or any other.
  if (mDemandByModel.empty() && !mHasTraffic) {
    return true;
  }
  return AvailableLoadTokens(aCount, aNow) >= static_cast<double>(aCount) &&
         CountRunningLoads(aNow) < mService.engine->concurrentLoads;
}

void
group_controller::TakeLoadTokens(std::size_t aCount, time_point aNow)
{
  mLoadTokens = AvailableLoadTokens(aCount, aNow) - static_cast<double>(aCount);
  mLoadTokensAt = aNow;
}

void
group_controller::FormGroups(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions)
{
  for (auto& [id, state] : mInstanceStates) {
    const fleet::instance* instance = aFleet.Find(id);
    const bool expired = state.stagingDeadline <= aNow;
    if (!state.stagingModel.Empty() &&
        (expired || (instance != nullptr && HoldsWeights(*instance, state.stagingModel)))) {
      state.stagingModel = {};
    }
  }
  instance_list freeInstances = FreeInstances(aFleet, aNow);
  while (FormWarmGroup(freeInstances, aNow, aActions)) {
    freeInstances = FreeInstances(aFleet, aNow);
  }
  if (RegistrationSettled(aNow)) {
    AssignDomains(aFleet, aNow);
    // Once there is demand, weights are staged first where they complete groups soonest, and groups
    // are formed only of instances that hold the weights.
    while (mDemandByModel.empty() && FormColdGroup(freeInstances, aNow, aActions)) {
      freeInstances = FreeInstances(aFleet, aNow);
    }
    StageIdleInstances(freeInstances, aNow, aActions);
  }
  RecordIdleInstances(freeInstances, aNow, aActions);
}

bool
group_controller::RegistrationSettled(time_point aNow) const
{
  const duration maxWait =
    mDemandByModel.empty() ? mOptions.maxSettleTimeWithoutDemand : mOptions.maxSettleTime;
  return aNow - mLastInstanceAddedAt >= mOptions.settlePeriod || aNow - mLeadingSince >= maxWait;
}

void
group_controller::RecordIdleInstances(const instance_list& aFreeInstances,
                                      time_point aNow,
                                      actions& aActions)
{
  if (aNow - mIdleCheckedAt < kMinIdleRecordInterval) {
    return;
  }
  mIdleCheckedAt = aNow;
  std::string summary;
  for (const auto& [domain, freeInstances] : InstancesByDomain(aFreeInstances)) {
    summary += summary.empty() ? "" : " ";
    summary += domain.value + ":";
    for (const fleet::instance* instance : freeInstances) {
      const instance_state& state = mInstanceStates.at(instance->id);
      summary += instance->stagedModels.empty() ? "none" : instance->stagedModels.back().value;
      summary += state.stagingModel.Empty() ? "" : ">" + state.stagingModel.value;
      summary += instance == freeInstances.back() ? "" : ",";
    }
  }
  if (summary != mLastIdleSummary) {
    mLastIdleSummary = summary;
    aActions.push_back(record_idle_instances{ aFreeInstances.size(), summary });
  }
}

bool
group_controller::FormWarmGroup(const instance_list& aFreeInstances,
                                time_point aNow,
                                actions& aActions)
{
  const routes::model_profile* bestModel = nullptr;
  instance_list members;
  double lowestSupply = 0;
  for (const auto& [domain, freeInstances] : InstancesByDomain(aFreeInstances)) {
    for (const routes::model_profile& model : mService.engine->models) {
      if (HasMovedFrom(domain, model.name)) {
        continue;
      }
      instance_list warmInstances;
      for (const fleet::instance* instance : freeInstances) {
        if (HoldsWeights(*instance, model.name)) {
          warmInstances.push_back(instance);
        }
      }
      const double supply = RelativeSupply(model.name);
      if (warmInstances.size() >= model.groupSize &&
          (bestModel == nullptr || supply < lowestSupply)) {
        bestModel = &model;
        lowestSupply = supply;
        members = std::move(warmInstances);
      }
    }
  }
  if (bestModel == nullptr) {
    return false;
  }
  // Instances whose last group served the model join fastest. A slow instance slows down its whole
  // group.
  std::stable_sort(members.begin(), members.end(), [&](const auto* aLeft, const auto* aRight) {
    const auto cost = [&](const fleet::instance* aCandidate) {
      const instance_state& state = mInstanceStates.at(aCandidate->id);
      const bool isSlow = state.report && state.report->slowdown > kSlowInstanceThreshold;
      return (isSlow ? 2 : 0) + (state.lastGroupModel == bestModel->name ? 0 : 1);
    };
    return cost(aLeft) < cost(aRight);
  });
  members.resize(bestModel->groupSize);
  CreateGroup(*bestModel, members, aNow, aActions);
  return true;
}

routes::model_name
group_controller::LoadingModel(const instance_id& aInstance) const
{
  const instance_state& state = mInstanceStates.at(aInstance);
  const managed_group* group = state.stagingModel.Empty() ? FindGroupOf(aInstance) : nullptr;
  return group == nullptr ? state.stagingModel : group->model;
}

void
group_controller::AssignDomains(const fleet::fleet_view& aFleet, time_point aNow)
{
  if (mDomainsAssignedAt >= mLastInstanceAddedAt) {
    return;
  }
  mDomainsAssignedAt = aNow;
  std::map<routes::model_name, double> demandShares;
  for (const routes::model_profile& model : mService.engine->models) {
    demandShares[model.name] = DemandShare(model.name);
  }
  mDomainAssignment.Assign(Inventories(aFleet), mService.engine->models, demandShares);
}

std::vector<domain_inventory>
group_controller::Inventories(const fleet::fleet_view& aFleet) const
{
  std::vector<domain_inventory> domains;
  for (const auto& [domain, instances] :
       InstancesByDomain(aFleet.InstancesOfService(mService.name))) {
    domain_inventory inventory{ domain, instances.size(), {} };
    for (const fleet::instance* instance : instances) {
      if (mEmptiedZones.count(instance->zone) != 0) {
        --inventory.instanceCount;
        continue;
      }
      const routes::model_name loadingModel = LoadingModel(instance->id);
      for (const routes::model_profile& model : mService.engine->models) {
        inventory.instancesByModel[model.name] +=
          loadingModel == model.name || HoldsWeights(*instance, model.name) ? 1 : 0;
      }
    }
    domains.push_back(std::move(inventory));
  }
  return domains;
}

bool
group_controller::HasMovedFrom(const domain_id& aDomain, const routes::model_name& aModel) const
{
  const routes::model_name* assigned = mDomainAssignment.ModelOf(aDomain);
  return mMovedDomains.count(aDomain) != 0 && assigned != nullptr && *assigned != aModel;
}

void
group_controller::Rebalance(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions)
{
  if (!mOptions.movesDomains || mDemandByModel.empty() ||
      !mDomainAssignment.CoversAllModels(mService.engine->models)) {
    return;
  }
  for (managed_group& group : mGroups) {
    const fleet::instance* head = aFleet.Find(group.Head().instance);
    if (group.currentStage == managed_group::stage::serving && head != nullptr &&
        HasMovedFrom(head->domain, group.model)) {
      PrepareMove(group, aFleet, aNow, aActions);
    }
  }
  if (aNow - mRebalancedAt < kRebalanceInterval) {
    return;
  }
  mRebalancedAt = aNow;
  std::map<routes::model_name, double> demandShares;
  for (const routes::model_profile& model : mService.engine->models) {
    demandShares[model.name] = DemandShare(model.name);
  }
  if (const auto moved =
        mDomainAssignment.Rebalance(Inventories(aFleet), mService.engine->models, demandShares)) {
    mMovedDomains.insert(*moved);
    aActions.push_back(
      record_moved_domain{ *moved, *mDomainAssignment.ModelOf(*moved), std::move(demandShares) });
  }
}

void
group_controller::PrepareMove(managed_group& aGroup,
                              const fleet::fleet_view& aFleet,
                              time_point aNow,
                              actions& aActions)
{
  bool allHold = true;
  for (const managed_member& member : aGroup.members) {
    const fleet::instance* instance = aFleet.Find(member.instance);
    if (instance == nullptr) {
      return;
    }
    const routes::model_profile* model = AssignedModel(instance->domain);
    if (model == nullptr || HoldsWeights(*instance, model->name)) {
      continue;
    }
    allHold = false;
    if (mInstanceStates.at(member.instance).stagingModel.Empty()) {
      StageWeights(*instance, model, aNow, aActions);
    }
  }
  if (allHold) {
    aGroup.currentStage = managed_group::stage::closing;
    aGroup.stageStartedAt = aNow;
    RecordDecision(record_decision::decision_kind::closing,
                   aGroup,
                   "its domain serves another model now",
                   aActions);
  }
}

const routes::model_profile*
group_controller::AssignedModel(const domain_id& aDomain) const
{
  if (!mDomainAssignment.CoversAllModels(mService.engine->models)) {
    return nullptr;
  }
  const routes::model_name* assignedModel = mDomainAssignment.ModelOf(aDomain);
  return assignedModel == nullptr ? nullptr : mService.engine->FindModel(*assignedModel);
}

bool
group_controller::FormColdGroup(const instance_list& aFreeInstances,
                                time_point aNow,
                                actions& aActions)
{
  const routes::model_profile* bestModel = nullptr;
  instance_list members;
  double lowestSupply = 0;
  for (const auto& [domain, freeInstances] : InstancesByDomain(aFreeInstances)) {
    const instance_list coldInstances = ColdInstances(freeInstances);
    const routes::model_profile* assignedModel = AssignedModel(domain);
    for (const routes::model_profile& model : mService.engine->models) {
      if (coldInstances.size() < model.groupSize ||
          (assignedModel != nullptr && assignedModel != &model)) {
        continue;
      }
      const double supply = RelativeSupply(model.name);
      if (bestModel == nullptr || supply < lowestSupply) {
        bestModel = &model;
        lowestSupply = supply;
        members = coldInstances;
      }
    }
  }
  if (bestModel == nullptr || !MayStartLoads(bestModel->groupSize, aNow)) {
    return false;
  }
  members.resize(bestModel->groupSize);
  CreateGroup(*bestModel, members, aNow, aActions);
  return true;
}

std::vector<const fleet::instance*>
group_controller::ColdInstances(const instance_list& aFreeInstances) const
{
  instance_list coldInstances;
  for (const fleet::instance* instance : aFreeInstances) {
    if (instance->stagedModels.empty() && mInstanceStates.at(instance->id).stagingModel.Empty()) {
      coldInstances.push_back(instance);
    }
  }
  return coldInstances;
}

const routes::model_profile*
group_controller::ChooseModelToStage(const instance_list& aFreeInstances,
                                     const domain_id& aDomain) const
{
  if (const routes::model_profile* assignedModel = AssignedModel(aDomain)) {
    return assignedModel;
  }
  const double instanceCount =
    static_cast<double>(std::max<std::size_t>(mInstanceStates.size(), 1));
  const routes::model_profile* bestModel = nullptr;
  double lowestCost = 0;
  for (const routes::model_profile& model : mService.engine->models) {
    std::size_t holderCount = 0;
    for (const fleet::instance* other : aFreeInstances) {
      holderCount +=
        HoldsWeights(*other, model.name) || mInstanceStates.at(other->id).stagingModel == model.name
          ? 1
          : 0;
    }
    const std::size_t missingMembers = model.groupSize - holderCount % model.groupSize;
    const double cost = RelativeSupply(model.name) / instanceCount +
                        kMissingMemberCost * static_cast<double>(missingMembers);
    if (bestModel == nullptr || cost < lowestCost) {
      bestModel = &model;
      lowestCost = cost;
    }
  }
  return bestModel;
}

std::vector<group_controller::staging_candidate>
group_controller::RankStagingCandidates(const instance_list& aFreeInstances) const
{
  std::vector<staging_candidate> candidates;
  for (const auto& [domain, freeInstances] : InstancesByDomain(aFreeInstances)) {
    const routes::model_profile* model = ChooseModelToStage(freeInstances, domain);
    instance_list coldInstances = ColdInstances(freeInstances);
    if (model == nullptr || coldInstances.empty()) {
      continue;
    }
    if (AssignedModel(domain) == nullptr) {
      // The best model for the next instance depends on this one.
      coldInstances.resize(1);
    }
    const auto holderCount =
      std::count_if(freeInstances.begin(), freeInstances.end(), [&](const auto* aCandidate) {
        return HoldsWeights(*aCandidate, model->name) ||
               mInstanceStates.at(aCandidate->id).stagingModel == model->name;
      });
    const std::size_t surplusCount = static_cast<std::size_t>(holderCount) % model->groupSize;
    const double capacity =
      static_cast<double>(model->groupSize) / (1 + RelativeSupply(model->name));
    const std::vector<double> fractions =
      GroupFractionPerLoad(coldInstances.size(), surplusCount, model->groupSize);
    for (std::size_t i = 0; i < coldInstances.size(); ++i) {
      candidates.push_back({ coldInstances[i],
                             model,
                             capacity * fractions[i] / static_cast<double>(model->loadTime.ms) });
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.gainPerMs > aRight.gainPerMs;
  });
  return candidates;
}

void
group_controller::StageIdleInstances(const instance_list& aFreeInstances,
                                     time_point aNow,
                                     actions& aActions)
{
  for (const staging_candidate& candidate : RankStagingCandidates(aFreeInstances)) {
    StageWeights(*candidate.instance, candidate.model, aNow, aActions);
  }
  // Instances that hold only the weights of other models load those of their domain's model, so
  // that they become its spares.
  for (const auto& [domain, freeInstances] : InstancesByDomain(aFreeInstances)) {
    const routes::model_profile* assignedModel = AssignedModel(domain);
    for (const fleet::instance* instance : freeInstances) {
      const bool holdsOtherModel = assignedModel != nullptr && !instance->stagedModels.empty() &&
                                   !HoldsWeights(*instance, assignedModel->name);
      if (holdsOtherModel && mInstanceStates.at(instance->id).stagingModel.Empty()) {
        StageWeights(*instance, assignedModel, aNow, aActions);
      }
    }
  }
}

void
group_controller::StageWeights(const fleet::instance& aInstance,
                               const routes::model_profile* aModel,
                               time_point aNow,
                               actions& aActions)
{
  if (aModel == nullptr || !MayStartLoads(1, aNow) ||
      !MaySendOrder(aInstance.id, order_kind::stage)) {
    return;
  }
  TakeLoadTokens(1, aNow);
  instance_state& state = mInstanceStates.at(aInstance.id);
  state.stagingModel = aModel->name;
  state.stagingDeadline = aNow + aModel->loadTime * kStagingTimeoutFactor;
  engine_order order;
  order.kind = order_kind::stage;
  order.instance = aInstance.id;
  order.model = aModel->name;
  SendOrder(std::move(order), aNow, aActions);
}

void
group_controller::CreateGroup(const routes::model_profile& aModel,
                              const instance_list& aMembers,
                              time_point aNow,
                              actions& aActions)
{
  managed_group group;
  group.id = { fmt::format("g{}-{}", mToken.value, ++mLastGroupNumber) };
  mHighestEpoch = std::max(mHighestEpoch, mToken.value * kEpochsPerToken) + 1;
  group.epoch = { mHighestEpoch };
  group.model = aModel.name;
  group.stageStartedAt = aNow;
  std::size_t loadCount = 0;
  std::string memberIds;
  for (const fleet::instance* instance : aMembers) {
    managed_member member;
    member.instance = instance->id;
    member.incarnationId = instance->incarnationId;
    member.needsLoad = !HoldsWeights(*instance, aModel.name);
    loadCount += member.needsLoad ? 1 : 0;
    memberIds += (memberIds.empty() ? "" : ",") + instance->id.value;
    group.members.push_back(member);
  }
  if (loadCount > 0) {
    TakeLoadTokens(loadCount, aNow);
  }
  RecordDecision(record_decision::decision_kind::formed, group, memberIds, aActions);
  mGroups.push_back(std::move(group));
  // The orders to join are sent by the next reconciliation, as for any forming group.
}

} // namespace persimmon::assembly
