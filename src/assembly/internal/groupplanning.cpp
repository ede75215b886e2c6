#include "assembly/groupcontroller.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace persimmon::assembly {
namespace {

/// An instance that answered within this time counts as present.
constexpr duration kMaxReportAge = 2_s;
/// Epochs of one token; a later leader's are higher than all of a former one's.
constexpr std::uint64_t kEpochsPerToken = 100000;
/// Longest time that a staging counts, as a multiple of its expected time.
constexpr std::int64_t kStagingTimeoutFactor = 4;
/// Weight of a member that a domain lacks for a whole group, against the supply of its model.
constexpr double kMissingMemberCost = 0.15;
/// An instance this much slower than expected is taken last.
constexpr double kSlowInstanceThreshold = 1.5;

/// Worth of a first spare against that of a whole group: it saves a load when a member is lost.
/// Each further spare is worth as much less.
constexpr double kSpareGain = 0.5;

/// Shortest time between two notes of idle instances.
constexpr duration kMinIdleRecordInterval = 1_s;

using instance_list = std::vector<const fleet::instance*>;

std::map<domain_name, instance_list>
GroupByDomain(const instance_list& aFree)
{
  std::map<domain_name, instance_list> domains;
  for (const fleet::instance* instance : aFree) {
    domains[instance->domain].push_back(instance);
  }
  return domains;
}

/// Returns for each of aCold instances, in the order in which they load, what part of a group its
/// load gains, when aOver instances beyond whole groups hold weights already.
std::vector<double>
GroupFractionsGained(std::size_t aCold, std::size_t aOver, std::size_t aSize)
{
  std::vector<double> fractions;
  std::size_t spares = aOver;
  std::size_t missing = aSize - aOver;
  while (aCold - fractions.size() >= missing) {
    fractions.insert(fractions.end(), missing, 1 / static_cast<double>(missing));
    spares = 0;
    missing = aSize;
  }
  while (fractions.size() < aCold) {
    fractions.push_back(std::pow(kSpareGain, static_cast<double>(++spares)));
  }
  return fractions;
}

} // namespace

std::vector<const fleet::instance*>
group_controller::FreeInstances(const fleet::fleet_view& aFleet, time_point aNow) const
{
  instance_list free;
  for (const fleet::instance* instance : aFleet.InstancesOfService(mService.name)) {
    const auto found = mInstanceStates.find(instance->id);
    if (found == mInstanceStates.end() || instance->draining || IsBoundToGroup(*instance, aFleet)) {
      continue;
    }
    const instance_state& state = found->second;
    const bool present = state.missedReports == 0 && state.lastReportAt > mLeadingSince &&
                         aNow - state.lastReportAt < kMaxReportAge &&
                         state.incarnationId == instance->incarnationId;
    if (present && FindGroupOf(instance->id) == nullptr && state.ineligibleUntil <= aNow) {
      free.push_back(instance);
    }
  }
  return free;
}

bool
group_controller::IsBoundToGroup(const fleet::instance& aInstance,
                                 const fleet::fleet_view& aFleet) const
{
  const auto member = MembershipOf(aInstance.id, aFleet);
  return member && mEndedGroups.count({ member->group, member->epoch }) == 0;
}

bool
group_controller::HoldsWeights(const fleet::instance& aInstance,
                               const routes::model_name& aModel) const
{
  const auto found = mInstanceStates.find(aInstance.id);
  const bool last = found != mInstanceStates.end() && found->second.lastGroupModel == aModel;
  const auto& staged = aInstance.stagedModels;
  return last || std::find(staged.begin(), staged.end(), aModel) != staged.end();
}

double
group_controller::DemandShare(const routes::model_name& aModel) const
{
  const routes::engine_profile& engine = *mService.engine;
  double total = 0;
  double own = 0;
  for (const routes::model_profile& model : engine.models) {
    const auto found = mDemandByModel.find(model.name);
    const double wanted = found == mDemandByModel.end() ? model.initialDemandShare : found->second;
    total += wanted;
    own += model.name == aModel ? wanted : 0;
  }
  return total > 0 ? own / total : 1;
}

double
group_controller::RelativeSupply(const routes::model_name& aModel) const
{
  double supply = 0;
  for (const managed_group& group : mGroups) {
    if (group.model == aModel && group.currentStage != managed_group::stage::releasing) {
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
  std::size_t running = 0;
  for (const managed_group& group : mGroups) {
    for (const managed_member& member : group.members) {
      running += member.needsLoad && !member.hasBeenReady ? 1 : 0;
    }
  }
  for (const auto& [id, state] : mInstanceStates) {
    running += !state.stagingModel.Empty() && state.stagingDeadline > aNow ? 1 : 0;
  }
  return running;
}

double
group_controller::AvailableLoadTokens(std::size_t aCount, time_point aNow) const
{
  const double elapsed = static_cast<double>((aNow - mLoadTokensAt).ms) / 1000;
  const double capacity = std::max(mOptions.maxLoadBurst, static_cast<double>(aCount));
  return std::min(capacity, mLoadTokens + std::max(elapsed, 0.0) * mService.engine->loadsPerSecond);
}

bool
group_controller::MayStartLoads(std::size_t aCount, time_point aNow) const
{
  // Before callers come, loads are bounded by nothing.
  if (mDemandByModel.empty()) {
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
  instance_list free = FreeInstances(aFleet, aNow);
  while (FormWarmGroup(free, aNow, aActions)) {
    free = FreeInstances(aFleet, aNow);
  }
  if (RegistrationSettled(aNow)) {
    AssignDomains(aFleet, aNow);
    // Once callers come, weights are staged where they complete groups soonest, and groups form of
    // instances that hold them.
    while (mDemandByModel.empty() && FormColdGroup(free, aNow, aActions)) {
      free = FreeInstances(aFleet, aNow);
    }
    StageIdleInstances(free, aNow, aActions);
  }
  RecordIdleInstances(free, aNow, aActions);
}

bool
group_controller::RegistrationSettled(time_point aNow) const
{
  const duration longest =
    mDemandByModel.empty() ? mOptions.maxSettleTimeWithoutDemand : mOptions.maxSettleTime;
  return aNow - mLastInstanceAddedAt >= mOptions.settlePeriod || aNow - mLeadingSince >= longest;
}

void
group_controller::RecordIdleInstances(const instance_list& aFree,
                                      time_point aNow,
                                      actions& aActions)
{
  if (aNow - mIdleCheckedAt < kMinIdleRecordInterval) {
    return;
  }
  mIdleCheckedAt = aNow;
  std::string summary;
  for (const auto& [domain, free] : GroupByDomain(aFree)) {
    summary += summary.empty() ? "" : " ";
    summary += domain.value + ":";
    for (const fleet::instance* instance : free) {
      const instance_state& state = mInstanceStates.at(instance->id);
      summary += instance->stagedModels.empty() ? "none" : instance->stagedModels.back().value;
      summary += state.stagingModel.Empty() ? "" : ">" + state.stagingModel.value;
      summary += instance == free.back() ? "" : ",";
    }
  }
  if (summary != mLastIdleSummary) {
    mLastIdleSummary = summary;
    aActions.push_back(record_idle_instances{ aFree.size(), summary });
  }
}

bool
group_controller::FormWarmGroup(const instance_list& aFree, time_point aNow, actions& aActions)
{
  const routes::model_profile* chosen = nullptr;
  instance_list members;
  double lowest = 0;
  for (const auto& [domain, free] : GroupByDomain(aFree)) {
    for (const routes::model_profile& model : mService.engine->models) {
      instance_list warm;
      for (const fleet::instance* instance : free) {
        if (HoldsWeights(*instance, model.name)) {
          warm.push_back(instance);
        }
      }
      const double supply = RelativeSupply(model.name);
      if (warm.size() >= model.groupSize && (chosen == nullptr || supply < lowest)) {
        chosen = &model;
        lowest = supply;
        members = std::move(warm);
      }
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  // Those whose last group had the model join soonest; slow ones would slow the whole group.
  std::stable_sort(members.begin(), members.end(), [&](const auto* aLeft, const auto* aRight) {
    const auto cost = [&](const fleet::instance* aCandidate) {
      const instance_state& state = mInstanceStates.at(aCandidate->id);
      const bool slow = state.report && state.report->slowdown > kSlowInstanceThreshold;
      return (slow ? 2 : 0) + (state.lastGroupModel == chosen->name ? 0 : 1);
    };
    return cost(aLeft) < cost(aRight);
  });
  members.resize(chosen->size);
  CreateGroup(*chosen, members, aNow, aActions);
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
  std::vector<domain_inventory> domains;
  for (const auto& [domain, instances] : GroupByDomain(aFleet.InstancesOfService(mService.name))) {
    domain_inventory inventory{ domain, instances.size(), {} };
    for (const fleet::instance* instance : instances) {
      const routes::model_name loading = LoadingModel(instance->id);
      for (const routes::model_profile& model : mService.engine->models) {
        inventory.instancesByModel[model.name] +=
          loading == model.name || HoldsWeights(*instance, model.name) ? 1 : 0;
      }
    }
    domains.push_back(std::move(inventory));
  }
  std::map<routes::model_name, double> wanted;
  for (const routes::model_profile& model : mService.engine->models) {
    wanted[model.name] = DemandShare(model.name);
  }
  mDomainAssignment.Assign(domains, mService.engine->models, wanted);
}

const routes::model_profile*
group_controller::AssignedModel(const domain_name& aDomain) const
{
  if (!mDomainAssignment.CoversAllModels(mService.engine->models)) {
    return nullptr;
  }
  const routes::model_name* assigned = mDomainAssignment.ModelOf(aDomain);
  return assigned == nullptr ? nullptr : mService.engine->FindModel(*assigned);
}

bool
group_controller::FormColdGroup(const instance_list& aFree, time_point aNow, actions& aActions)
{
  const routes::model_profile* chosen = nullptr;
  instance_list members;
  double lowest = 0;
  for (const auto& [domain, free] : GroupByDomain(aFree)) {
    const instance_list cold = ColdInstances(free);
    const routes::model_profile* assigned = AssignedModel(domain);
    for (const routes::model_profile& model : mService.engine->models) {
      if (cold.size() < model.groupSize || (assigned != nullptr && assigned != &model)) {
        continue;
      }
      const double supply = RelativeSupply(model.name);
      if (chosen == nullptr || supply < lowest) {
        chosen = &model;
        lowest = supply;
        members = cold;
      }
    }
  }
  if (chosen == nullptr || !MayStartLoads(chosen->size, aNow)) {
    return false;
  }
  members.resize(chosen->size);
  CreateGroup(*chosen, members, aNow, aActions);
  return true;
}

std::vector<const fleet::instance*>
group_controller::ColdInstances(const instance_list& aFree) const
{
  instance_list cold;
  for (const fleet::instance* instance : aFree) {
    if (instance->stagedModels.empty() && mInstanceStates.at(instance->id).stagingModel.Empty()) {
      cold.push_back(instance);
    }
  }
  return cold;
}

const routes::model_profile*
group_controller::ChooseModelToStage(const instance_list& aFree, const domain_name& aDomain) const
{
  if (const routes::model_profile* assigned = AssignedModel(aDomain)) {
    return assigned;
  }
  const double instanceCount =
    static_cast<double>(std::max<std::size_t>(mInstanceStates.size(), 1));
  const routes::model_profile* chosen = nullptr;
  double lowest = 0;
  for (const routes::model_profile& model : mService.engine->models) {
    std::size_t meant = 0;
    for (const fleet::instance* other : aFree) {
      meant +=
        HoldsWeights(*other, model.name) || mInstanceStates.at(other->id).stagingModel == model.name
          ? 1
          : 0;
    }
    const std::size_t missing = model.groupSize - meant % model.groupSize;
    const double cost = RelativeSupply(model.name) / instanceCount +
                        kMissingMemberCost * static_cast<double>(missing);
    if (chosen == nullptr || cost < lowest) {
      chosen = &model;
      lowest = cost;
    }
  }
  return chosen;
}

std::vector<group_controller::staging_candidate>
group_controller::RankStagingCandidates(const instance_list& aFree) const
{
  std::vector<staging_candidate> candidates;
  for (const auto& [domain, free] : GroupByDomain(aFree)) {
    const routes::model_profile* model = ChooseModelToStage(free, domain);
    instance_list cold = ColdInstances(free);
    if (model == nullptr || cold.empty()) {
      continue;
    }
    if (AssignedModel(domain) == nullptr) {
      // What the next one is for depends on this one.
      cold.resize(1);
    }
    const auto meant = std::count_if(free.begin(), free.end(), [&](const auto* aCandidate) {
      return HoldsWeights(*aCandidate, model->name) ||
             mInstanceStates.at(aCandidate->id).stagingModel == model->name;
    });
    const std::size_t surplus = static_cast<std::size_t>(meant) % model->groupSize;
    const double capacity =
      static_cast<double>(model->groupSize) / (1 + RelativeSupply(model->name));
    const std::vector<double> fractions =
      GroupFractionsGained(cold.size(), surplus, model->groupSize);
    for (std::size_t i = 0; i < cold.size(); ++i) {
      candidates.push_back(
        { cold[i], model, capacity * fractions[i] / static_cast<double>(model->loadTime.ms) });
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.gainPerMs > aRight.gainPerMs;
  });
  return candidates;
}

void
group_controller::StageIdleInstances(const instance_list& aFree, time_point aNow, actions& aActions)
{
  for (const staging_candidate& candidate : RankStagingCandidates(aFree)) {
    StageWeights(*candidate.instance, candidate.model, aNow, aActions);
  }
  // Instances that are left alone with another model's weights become spares of their domain.
  for (const auto& [domain, free] : GroupByDomain(aFree)) {
    const routes::model_profile* assigned = AssignedModel(domain);
    for (const fleet::instance* instance : free) {
      const bool foreign = assigned != nullptr && !instance->stagedModels.empty() &&
                           !HoldsWeights(*instance, assigned->name);
      if (foreign && mInstanceStates.at(instance->id).stagingModel.Empty()) {
        StageWeights(*instance, assigned, aNow, aActions);
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
  if (aModel == nullptr || !MayStartLoads(1, aNow)) {
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
  std::size_t loads = 0;
  std::string names;
  for (const fleet::instance* instance : aMembers) {
    managed_member member;
    member.instance = instance->id;
    member.incarnationId = instance->incarnationId;
    member.needsLoad = !HoldsWeights(*instance, aModel.name);
    loads += member.needsLoad ? 1 : 0;
    names += (names.empty() ? "" : ",") + instance->id.value;
    group.members.push_back(member);
  }
  if (loads > 0) {
    TakeLoadTokens(loads, aNow);
  }
  RecordDecision(record_decision::decision_kind::formed, group, names, aActions);
  mGroups.push_back(std::move(group));
  // The orders follow in the next step, which sees the formation as any other.
}

} // namespace persimmon::assembly
