#include "dispatch/upstreamselector.h"

#include "admission/slotpolicy.h"
#include "dispatch/internal/groupcost.h"
#include "dispatch/internal/instanceids.h"
#include "dispatch/internal/plaincost.h"
#include "dispatch/waterfilling.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Mean age of a load report when it arrives.
constexpr duration kMeanLoadReportAge = 200_ms;

/// A group with a free slot of this router's own is left alone when it takes this much longer for a
/// call than the fastest group: it is slow or fails.
constexpr double kMaxOwnSlotCost = 1.5;

bool
IsExcluded(const selection_request& aRequest, const instance_id& aId)
{
  return Contains(aRequest.excluded, aId) ||
         (!aRequest.onlyAmong.empty() && !Contains(aRequest.onlyAmong, aId));
}

} // namespace

upstream_selector::upstream_selector(zone_name aZone, router_id aSelf)
  : mZone(std::move(aZone))
  , mConditions(aSelf, mFleet, mStats)
  , mOwnSlots(std::move(aSelf), mStats)
{
}

void
upstream_selector::SetRouters(std::vector<router_id> aRouters)
{
  if (mOwnSlots.SetRouters(std::move(aRouters))) {
    DivideSlots();
  }
}

void
upstream_selector::DivideSlots()
{
  if (!mRoutes) {
    return;
  }
  std::vector<const fleet::engine_group*> usable;
  for (const fleet::engine_group& group : mGroups) {
    const bool isEmptied =
      std::any_of(group.members.begin(), group.members.end(), [this](const auto& aMember) {
        return IsInEmptiedZone(aMember);
      });
    if (IsUsable(group) && !isEmptied) {
      usable.push_back(&group);
    }
  }
  mOwnSlots.Divide(std::move(usable), *mRoutes);
}

void
upstream_selector::SetRoutes(std::shared_ptr<const routes::route_table> aRoutes)
{
  mRoutes = std::move(aRoutes);
  OnFleetChanged();
}

void
upstream_selector::OnFleetChanged()
{
  mGroups.clear();
  mGroupByHead.clear();
  if (!mRoutes) {
    return;
  }
  for (const routes::service_profile& service : mRoutes->Configuration().services) {
    for (fleet::engine_group& group : mFleet.GroupsOfService(service)) {
      mGroupByHead[group.Head()] = mGroups.size();
      mGroups.push_back(std::move(group));
    }
  }
  std::erase_if(mBrokenGroups, [this](const auto& aMark) {
    return FindGroup(aMark.first.first, aMark.first.second) == nullptr;
  });
  mStats.Prune();
  DivideSlots();
}

const fleet::engine_group*
upstream_selector::FindGroupByHead(const instance_id& aHead) const
{
  const auto found = mGroupByHead.find(aHead);
  return found == mGroupByHead.end() ? nullptr : &mGroups[found->second];
}

const fleet::engine_group*
upstream_selector::FindGroup(const group_id& aGroup, generation aEpoch) const
{
  for (const fleet::engine_group& group : mGroups) {
    if (group.id == aGroup && group.epoch == aEpoch) {
      return &group;
    }
  }
  return nullptr;
}

bool
upstream_selector::IsAvailable(const fleet::instance& aUpstream, time_point aNow) const
{
  return !aUpstream.draining && mEmptiedZones.count(aUpstream.zone) == 0 &&
         !mConditions.RemainingPause(aUpstream, aNow) && !mStats.IsAvoided(aUpstream.id, aNow);
}

bool
upstream_selector::IsUsable(const fleet::engine_group& aGroup) const
{
  return aGroup.IsServing() && !IsBroken(aGroup.id, aGroup.epoch) &&
         mFleet.Find(aGroup.Head()) != nullptr;
}

bool
upstream_selector::IsAvailable(const fleet::engine_group& aGroup, time_point aNow) const
{
  return IsUsable(aGroup) && IsAvailable(*mFleet.Find(aGroup.Head()), aNow) &&
         std::none_of(aGroup.members.begin(), aGroup.members.end(), [this](const auto& aMember) {
           return IsInEmptiedZone(aMember);
         });
}

bool
upstream_selector::IsInEmptiedZone(const instance_id& aInstance) const
{
  const fleet::instance* known = mEmptiedZones.empty() ? nullptr : mFleet.Find(aInstance);
  return known != nullptr && mEmptiedZones.count(known->zone) != 0;
}

void
upstream_selector::UpdateWarmups(time_point aNow)
{
  if (!mRoutes) {
    return;
  }
  for (const routes::service_profile& service : mRoutes->Configuration().services) {
    if (service.warmupRate.PerSecond() <= 0) {
      continue;
    }
    for (const fleet::instance* instance : mFleet.InstancesOfService(service.name)) {
      mConditions.Limits().RecordWarmup(instance->id,
                                        instance->incarnationId,
                                        { instance->warmupRemaining, service.warmupRate },
                                        aNow);
    }
  }
}

double
upstream_selector::UnreportedCalls(const selection_request& aRequest,
                                   const std::vector<const fleet::engine_group*>& aGroups,
                                   time_point aNow) const
{
  const auto rate = mCallRates.find({ aRequest.service, aRequest.model });
  if (rate == mCallRates.end()) {
    return 0;
  }
  double ages = 0;
  for (const fleet::engine_group* group : aGroups) {
    const upstream_stats* stats = mStats.Find(group->Head());
    const duration age = stats == nullptr ? kLoadReportLifetime : aNow - stats->loadReportedAt;
    ages += static_cast<double>(std::min(age, kLoadReportLifetime).ms) / 1000;
  }
  const double reportAgeSeconds =
    ages / static_cast<double>(aGroups.size()) + static_cast<double>(kMeanLoadReportAge.ms) / 1000;
  return rate->second.PerSecond(aNow) * static_cast<double>(mOwnSlots.RouterCount() - 1) *
         reportAgeSeconds;
}

model_load
upstream_selector::ReportedLoad(const service_name& aService,
                                const routes::model_name& aModel,
                                time_point aNow) const
{
  model_load load;
  load.asOf = aNow;
  for (const fleet::engine_group& group : mGroups) {
    const upstream_stats* stats = mStats.Find(group.Head());
    const bool isReported = stats != nullptr && aNow - stats->loadReportedAt <= kModelLoadLifetime;
    if (!isReported || group.service != aService || group.model != aModel ||
        !IsAvailable(group, aNow)) {
      continue;
    }
    load.calls += mStats.EstimatedCalls(group.Head(), aNow);
    load.slots += static_cast<double>(mRoutes->FindService(aService)->engine->slots);
    load.asOf = std::min(load.asOf, stats->loadReportedAt);
  }
  return load;
}

void
upstream_selector::RecordModelLoad(const service_name& aService,
                                   const routes::model_name& aModel,
                                   const model_load& aLoad)
{
  model_load& known = mModelLoads[{ aService, aModel }];
  if (aLoad.asOf > known.asOf && aLoad.slots > 0) {
    known = aLoad;
  }
}

double
upstream_selector::Utilisation(const service_name& aService,
                               const routes::model_name& aModel,
                               time_point aNow) const
{
  const auto told = mModelLoads.find({ aService, aModel });
  if (told != mModelLoads.end() && aNow - told->second.asOf <= kModelLoadLifetime) {
    return told->second.calls / told->second.slots;
  }
  const model_load reported = ReportedLoad(aService, aModel, aNow);
  if (reported.slots > 0) {
    return reported.calls / reported.slots;
  }
  const own_slot_use use = mOwnSlots.UseOf(aService, aModel);
  return use.slots > 0 ? static_cast<double>(use.inUse) / static_cast<double>(use.slots) : 0;
}

std::vector<upstream_selector::candidate_group>
upstream_selector::CandidateGroups(const selection_request& aRequest,
                                   const group_cost& aCost,
                                   time_point aNow) const
{
  std::vector<candidate_group> candidates;
  for (const fleet::engine_group& group : mGroups) {
    const bool matches = group.service == aRequest.service && group.model == aRequest.model;
    if (!matches || !IsAvailable(group, aNow) || IsExcluded(aRequest, group.Head()) ||
        !mConditions.HasPermit(*mFleet.Find(group.Head()), aNow)) {
      continue;
    }
    // News of a queue may be older than the end of the calls that stood in it: where this router
    // has a free slot of its own, they do not count.
    const bool hasOwnSlot = aRequest.claim && mOwnSlots.HasFree(group.Head());
    if (aRequest.maxQueueWait && !hasOwnSlot &&
        aCost.QueueWaitMs(group, aNow) > static_cast<double>(aRequest.maxQueueWait->ms)) {
      continue;
    }
    if (aRequest.idleUpstreamOnly && mStats.EstimatedCalls(group.Head(), aNow) > 0) {
      continue;
    }
    candidates.push_back({ &group, aCost.CostMs(group, aRequest.promptTokens, aNow) });
  }
  return candidates;
}

bool
upstream_selector::LeavesReserve(const selection_request& aRequest,
                                 std::size_t aMoreUrgentRanks) const
{
  const own_slot_use use = mOwnSlots.UseOf(aRequest.service, aRequest.model);
  return use.slots - use.inUse >
         admission::ReservedSlots(use.slots, aMoreUrgentRanks, aRequest.claim->isLate);
}

bool
upstream_selector::HasBeenFull(const selection_request& aRequest,
                               double aUtilisation,
                               time_point aNow) const
{
  full_span& span = mFullSince[{ aRequest.service, aRequest.model }];
  // Without a question for a while nothing is known of the time before.
  const bool isNew = aNow - span.askedAt > admission::kStandingTime;
  span.since = aUtilisation < 1 || isNew ? aNow : span.since;
  span.askedAt = aNow;
  return aNow - span.since >= admission::kStandingTime;
}

void
upstream_selector::KeepClaimable(std::vector<candidate_group>& aCandidates,
                                 const selection_request& aRequest,
                                 const group_cost& aCost,
                                 time_point aNow) const
{
  const slot_claim& claim = *aRequest.claim;
  const std::size_t moreUrgent =
    mOwnSlots.CountMoreUrgent(aRequest.service, aRequest.model, claim.rank, aNow);
  const auto fastest = std::min_element(
    aCandidates.begin(), aCandidates.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.costMs < aRight.costMs;
    });
  if (fastest == aCandidates.end()) {
    return;
  }
  const double mostMs = fastest->costMs * kMaxOwnSlotCost + kGroupTieToleranceMs;
  const auto isOwn = [&](const candidate_group& aCandidate) {
    return mOwnSlots.HasFree(aCandidate.group->Head()) &&
           aCost.UnqueuedCostMs(*aCandidate.group, aRequest.promptTokens, aNow) <= mostMs;
  };
  const bool hasOwn = std::any_of(aCandidates.begin(), aCandidates.end(), isOwn);
  if (hasOwn && LeavesReserve(aRequest, moreUrgent)) {
    std::erase_if(aCandidates, [&](const auto& aCandidate) { return !isOwn(aCandidate); });
    return;
  }
  const double utilisation = Utilisation(aRequest.service, aRequest.model, aNow);
  const admission::slot_demand demand{
    utilisation, moreUrgent, claim.draw, HasBeenFull(aRequest, utilisation, aNow), claim.isReturning
  };
  if (claim.isLate && admission::MayBeServedLate(demand)) {
    return;
  }
  const bool mayUseForeign = !claim.isLate && admission::MayUseForeignSlot(demand);
  std::erase_if(aCandidates, [&](const candidate_group& aCandidate) {
    return !mayUseForeign || !aCost.IsBelow(*aCandidate.group, admission::kForeignFill, aNow);
  });
}

std::optional<instance_id>
upstream_selector::SelectGroup(const selection_request& aRequest,
                               const group_cost& aCost,
                               time_point aNow) const
{
  std::vector<candidate_group> candidates = CandidateGroups(aRequest, aCost, aNow);
  if (aRequest.claim) {
    KeepClaimable(candidates, aRequest, aCost, aNow);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::vector<const fleet::engine_group*> groups;
  std::vector<double> costs;
  for (const candidate_group& candidate : candidates) {
    groups.push_back(candidate.group);
    costs.push_back(candidate.costMs);
  }
  const double unreportedMs = aCost.MarginalCostMs() * UnreportedCalls(aRequest, groups, aNow);
  return groups[SampleWaterFilling(
                  costs, std::max(unreportedMs, kGroupTieToleranceMs), aRequest.random)]
    ->Head();
}

std::optional<instance_id>
upstream_selector::SelectPlain(const selection_request& aRequest, time_point aNow) const
{
  std::vector<const fleet::instance*> upstreams = mFleet.InstancesOfService(aRequest.service);
  std::erase_if(upstreams, [&](const fleet::instance* aUpstream) {
    return !IsAvailable(*aUpstream, aNow) || IsExcluded(aRequest, aUpstream->id) ||
           !mConditions.HasPermit(*aUpstream, aNow);
  });
  return plain_cost(mStats, mZone).PickCheapest(upstreams, aRequest.random, aNow);
}

std::optional<instance_id>
upstream_selector::Select(const selection_request& aRequest, time_point aNow) const
{
  const routes::service_profile* service =
    mRoutes ? mRoutes->FindService(aRequest.service) : nullptr;
  if (service == nullptr) {
    return std::nullopt;
  }
  if (!service->engine) {
    return SelectPlain(aRequest, aNow);
  }
  const routes::engine_profile& profile = *service->engine;
  return SelectGroup(aRequest, { mStats, profile, profile.FindModel(aRequest.model) }, aNow);
}

std::vector<const fleet::instance*>
upstream_selector::CandidateInstances(const service_name& aService,
                                      const routes::model_name& aModel) const
{
  const routes::service_profile* service = mRoutes ? mRoutes->FindService(aService) : nullptr;
  if (service == nullptr) {
    return {};
  }
  if (!service->engine) {
    return mFleet.InstancesOfService(aService);
  }
  std::vector<const fleet::instance*> heads;
  for (const fleet::engine_group& group : mGroups) {
    if (group.service == aService && group.model == aModel && IsUsable(group)) {
      heads.push_back(mFleet.Find(group.Head()));
    }
  }
  return heads;
}

std::vector<const fleet::instance*>
upstream_selector::AvailableInstances(const service_name& aService,
                                      const routes::model_name& aModel,
                                      time_point aNow) const
{
  std::vector<const fleet::instance*> available = CandidateInstances(aService, aModel);
  std::erase_if(available,
                [&](const fleet::instance* aUpstream) { return !IsAvailable(*aUpstream, aNow); });
  return available;
}

upstream_shortage
upstream_selector::FindShortage(const service_name& aService,
                                const routes::model_name& aModel,
                                time_point aNow) const
{
  const auto available = AvailableInstances(aService, aModel, aNow);
  if (available.empty()) {
    const auto candidates = CandidateInstances(aService, aModel);
    const bool isEmptied =
      !candidates.empty() &&
      std::all_of(candidates.begin(), candidates.end(), [this](const fleet::instance* aCandidate) {
        return mEmptiedZones.count(aCandidate->zone) != 0;
      });
    if (isEmptied) {
      return upstream_shortage::all_emptied;
    }
    return TimeToPauseEnd(aService, aModel, aNow) ? upstream_shortage::all_paused
                                                  : upstream_shortage::none_available;
  }
  const bool anyPermit =
    std::any_of(available.begin(), available.end(), [&](const auto* aUpstream) {
      return mConditions.HasPermit(*aUpstream, aNow);
    });
  return anyPermit ? upstream_shortage::all_full : upstream_shortage::all_limited;
}

std::optional<duration>
upstream_selector::TimeToNextPermit(const service_name& aService,
                                    const routes::model_name& aModel,
                                    time_point aNow) const
{
  std::optional<duration> shortest;
  for (const fleet::instance* upstream : AvailableInstances(aService, aModel, aNow)) {
    const auto time = mConditions.TimeToNextPermit(*upstream, aNow);
    if (time && (!shortest || *time < *shortest)) {
      shortest = time;
    }
  }
  return shortest;
}

std::optional<duration>
upstream_selector::TimeToPauseEnd(const service_name& aService,
                                  const routes::model_name& aModel,
                                  time_point aNow) const
{
  std::optional<duration> shortest;
  for (const fleet::instance* upstream : CandidateInstances(aService, aModel)) {
    const auto remaining = mConditions.RemainingPause(*upstream, aNow);
    if (!upstream->draining && remaining && (!shortest || *remaining < *shortest)) {
      shortest = remaining;
    }
  }
  return shortest;
}

std::size_t
upstream_selector::CountWithoutPermit(const service_name& aService,
                                      const routes::model_name& aModel,
                                      time_point aNow) const
{
  if (mConditions.Limits().Empty()) {
    return 0;
  }
  const auto available = AvailableInstances(aService, aModel, aNow);
  return static_cast<std::size_t>(
    std::count_if(available.begin(), available.end(), [&](const auto* aUpstream) {
      return !mConditions.HasPermit(*aUpstream, aNow);
    }));
}

std::size_t
upstream_selector::CountPaused(const service_name& aService,
                               const routes::model_name& aModel,
                               time_point aNow) const
{
  if (!mConditions.HasPauses()) {
    return 0;
  }
  const auto candidates = CandidateInstances(aService, aModel);
  return static_cast<std::size_t>(
    std::count_if(candidates.begin(), candidates.end(), [&](const auto* aUpstream) {
      return !aUpstream->draining && mConditions.RemainingPause(*aUpstream, aNow).has_value();
    }));
}

std::vector<fleet::engine_group>
upstream_selector::AvailableGroups(time_point aNow) const
{
  std::vector<fleet::engine_group> available;
  for (const fleet::engine_group& group : mGroups) {
    if (IsAvailable(group, aNow)) {
      available.push_back(group);
    }
  }
  return available;
}

void
upstream_selector::RecordCall(const service_name& aService,
                              const routes::model_name& aModel,
                              time_point aNow)
{
  mCallRates[{ aService, aModel }].Record(aNow);
}

void
upstream_selector::OnCallStarted(const instance_id& aUpstream,
                                 std::uint64_t aPromptTokens,
                                 time_point aNow)
{
  const incarnation current = mStats.OnCallStarted(aUpstream, aPromptTokens);
  mConditions.Limits().RecordCall(aUpstream, current, aNow);
}

void
upstream_selector::MarkBroken(const group_id& aGroup,
                              generation aEpoch,
                              fleet::fault_evidence aEvidence)
{
  const auto [mark, added] = mBrokenGroups.try_emplace({ aGroup, aEpoch }, aEvidence);
  if (!added && aEvidence == fleet::fault_evidence::proof) {
    mark->second = aEvidence;
  }
  if (added) {
    DivideSlots();
  }
}

void
upstream_selector::ClearBroken(const group_id& aGroup, generation aEpoch)
{
  if (mBrokenGroups.erase({ aGroup, aEpoch }) > 0) {
    DivideSlots();
  }
}

std::optional<fleet::fault_evidence>
upstream_selector::BrokenEvidence(const group_id& aGroup, generation aEpoch) const
{
  const auto found = mBrokenGroups.find({ aGroup, aEpoch });
  return found == mBrokenGroups.end() ? std::nullopt : std::optional(found->second);
}

} // namespace persimmon::dispatch
