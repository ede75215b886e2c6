#include "placement/internal/groupreconciler.h"

#include "placement/internal/groupcheck.h"
#include "placement/placementevents.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::placement {
namespace {

/// A group that got no load slot for this long loads without one.
constexpr duration kLoadSlotTimeout{ 20'000 };
/// Longest wait for routers to report that they have applied the draining table.
constexpr duration kRouterApplyTimeout{ 3000 };
/// A drain that takes this long is ended with requests still in flight.
constexpr duration kDrainTimeout{ 900'000 };
/// How long an incomplete group keeps its members while another service waits for instances: at
/// equal weights, and the limit at any weights.
constexpr double kIncompleteHoldMs = 60'000;
constexpr double kMaxIncompleteHoldMs = 300'000;

duration
IncompleteHoldTime(const placement_weights& aWeights)
{
  const double ratio = aWeights.downtime / std::max(aWeights.stranded, 1e-9);
  return { static_cast<std::int64_t>(std::min(kIncompleteHoldMs * ratio, kMaxIncompleteHoldMs)) };
}

std::string
MemberList(const group& aGroup)
{
  std::string text;
  for (const group_member& member : aGroup.members) {
    text += (text.empty() ? "" : ",") + member.instance.value;
  }
  return text;
}

bool
IsAssigned(const domain_table& aTable, const instance_id& aInstance)
{
  for (const group& entry : aTable.groups) {
    for (const group_member& member : entry.members) {
      if (member.instance == aInstance) {
        return true;
      }
    }
  }
  return false;
}

} // namespace

group_reconciler::group_reconciler(const reconcile_context& aContext,
                                   const domain_table& aTable,
                                   placement_actions& aActions)
  : mContext(aContext)
  , mTable(aTable)
  , mNext(aTable)
  , mActions(aActions)
{
}

domain_table
group_reconciler::Reconcile()
{
  std::erase_if(mNext.groups, [&](group& aGroup) { return !AdvanceGroup(aGroup); });
  DropExcess();
  RefillIncomplete();
  DropExpiredIncomplete();
  FormMissing();
  AdvanceGenerations();
  mNext.absent = mContext.members.UnavailableInstances(mContext.now);
  return mNext;
}

void
group_reconciler::LogDecision(const log_event& aEvent, const group& aGroup, std::string aDetail)
{
  mActions.emplace_back(log_decision{
    aEvent, mTable.domain.value, aGroup.id.value, aGroup.service.value, std::move(aDetail) });
}

const service_document*
group_reconciler::DocumentOf(const service_name& aService) const
{
  const auto found = mContext.documents.find(aService);
  return found == mContext.documents.end() ? nullptr : &found->second.document;
}

std::int64_t
group_reconciler::PriorityOf(const group& aGroup) const
{
  const service_document* document = DocumentOf(aGroup.service);
  return document == nullptr ? 0 : document->priority;
}

std::uint64_t
group_reconciler::DomainShare(const service_name& aService) const
{
  return ShareOf(mContext.plan, aService, mTable.domain);
}

std::uint64_t
group_reconciler::CountActiveGroups(const service_name& aService) const
{
  return static_cast<std::uint64_t>(
    std::count_if(mNext.groups.begin(), mNext.groups.end(), [&](const group& aGroup) {
      const bool stopping =
        aGroup.state == group_state::draining || ContainsGroup(mContext.plan.stops, aGroup.id);
      return aGroup.service == aService && !stopping;
    }));
}

time_point
group_reconciler::StateEnteredAt(const group& aGroup) const
{
  const auto found = mContext.transitions.find(aGroup.id);
  return found == mContext.transitions.end() ? mContext.now : found->second.enteredAt;
}

bool
group_reconciler::HasAllMembers(const group& aGroup) const
{
  const service_document* document = DocumentOf(aGroup.service);
  const auto size = static_cast<std::int64_t>(aGroup.members.size());
  return document == nullptr || size == document->capacity.instancesPerReplica;
}

bool
group_reconciler::IsOutdated(const group& aGroup) const
{
  const service_document* document = DocumentOf(aGroup.service);
  if (document == nullptr) {
    return false;
  }
  const auto size = static_cast<std::int64_t>(aGroup.members.size());
  return aGroup.model != document->model || size > document->capacity.instancesPerReplica;
}

bool
group_reconciler::MustRemoveMember(const group& aGroup, const group_member& aMember) const
{
  if (mContext.members.IsLost(aMember)) {
    return true;
  }
  const tracked_instance* instance = mContext.members.Find(aMember.instance);
  const bool unwanted = instance->listed.leaving || mContext.now < instance->excludedUntil;
  return unwanted && aGroup.state != group_state::serving;
}

bool
group_reconciler::AdvanceGroup(group& aGroup)
{
  if (aGroup.state == group_state::draining) {
    return AdvanceDraining(aGroup);
  }
  const bool stopped = ContainsGroup(mContext.plan.stops, aGroup.id);
  if (aGroup.state != group_state::serving && (stopped || IsOutdated(aGroup))) {
    LogDecision(
      kGroupDropped, aGroup, stopped ? "no longer in the plan" : "service document changed");
    return false;
  }
  if (!RemoveLostMembers(aGroup)) {
    LogDecision(kGroupDropped, aGroup, "all members lost");
    return false;
  }
  switch (aGroup.state) {
    case group_state::forming:
      return AdvanceForming(aGroup);
    case group_state::loading:
      return AdvanceLoading(aGroup);
    default:
      return AdvanceServing(aGroup);
  }
}

bool
group_reconciler::RemoveLostMembers(group& aGroup)
{
  if (!mContext.policy.useSpares) {
    AwaitLostMembers(aGroup);
    return true;
  }
  const std::size_t before = aGroup.members.size();
  std::string removed;
  std::erase_if(aGroup.members, [&](const group_member& aMember) {
    const bool lost = MustRemoveMember(aGroup, aMember);
    removed += lost ? " " + aMember.instance.value : "";
    return lost;
  });
  if (aGroup.members.size() < before) {
    aGroup.state = group_state::forming;
    LogDecision(kGroupWithdrawn, aGroup, "members lost:" + removed);
  }
  const bool kept = mContext.policy.replaceMembers || aGroup.members.size() == before;
  return kept && !aGroup.members.empty();
}

void
group_reconciler::AwaitLostMembers(group& aGroup)
{
  for (group_member& member : aGroup.members) {
    const tracked_instance* instance = mContext.members.Find(member.instance);
    if (instance == nullptr || !mContext.members.IsLost(member)) {
      continue;
    }
    aGroup.state = group_state::forming;
    aGroup.loads = 1;
    if (!instance->lost) {
      member.incarnationId = instance->state->incarnationId;
    }
  }
}

bool
group_reconciler::CanStartLoading(const group& aGroup) const
{
  return aGroup.loads == 0 || ContainsGroup(mContext.plan.loads, aGroup.id) ||
         mContext.now - StateEnteredAt(aGroup) >= kLoadSlotTimeout;
}

bool
group_reconciler::AdvanceForming(group& aGroup)
{
  const bool present =
    std::none_of(aGroup.members.begin(), aGroup.members.end(), [&](const auto& aMember) {
      return mContext.members.IsLost(aMember);
    });
  if (present && HasAllMembers(aGroup) && CanStartLoading(aGroup)) {
    aGroup.state = group_state::loading;
    LogDecision(kGroupLoading, aGroup);
  }
  return true;
}

bool
group_reconciler::AdvanceLoading(group& aGroup)
{
  if (AreAllMembersReady(aGroup)) {
    aGroup.state = group_state::serving;
    LogDecision(kGroupServing, aGroup, MemberList(aGroup));
  }
  return true;
}

bool
group_reconciler::AdvanceServing(group& aGroup)
{
  if (ContainsGroup(mContext.plan.stops, aGroup.id)) {
    aGroup.state = group_state::draining;
    LogDecision(kGroupDraining, aGroup);
    return true;
  }
  if (HasMismatchedMember(aGroup)) {
    aGroup.state = group_state::loading;
    aGroup.version = aGroup.version.Next();
    LogDecision(kGroupWithdrawn, aGroup, "state of a member does not match its order");
  }
  return true;
}

bool
group_reconciler::AdvanceDraining(group& aGroup)
{
  if (!IsDrained(aGroup)) {
    return true;
  }
  const service_document* document = DocumentOf(aGroup.service);
  const bool wanted = document != nullptr && !document->retired && HasAllMembers(aGroup) &&
                      CountActiveGroups(aGroup.service) < DomainShare(aGroup.service);
  const bool lost =
    std::any_of(aGroup.members.begin(), aGroup.members.end(), [&](const group_member& aMember) {
      return MustRemoveMember(aGroup, aMember);
    });
  if (wanted && !lost && DiffersOnlyInAdapter(aGroup.model, document->model)) {
    aGroup.model = document->model;
    aGroup.loads = 0;
    aGroup.state = group_state::loading;
    LogDecision(kGroupChanged, aGroup, "adapter " + document->model.adapter);
    return true;
  }
  LogDecision(kGroupDropped, aGroup, "drained");
  return false;
}

bool
group_reconciler::IsDrained(const group& aGroup) const
{
  const auto transition = mContext.transitions.find(aGroup.id);
  const group_member& head = aGroup.members.front();
  if (transition == mContext.transitions.end() || mContext.members.IsLost(head)) {
    return transition != mContext.transitions.end();
  }
  const duration passed = mContext.now - transition->second.enteredAt;
  if (passed >= kDrainTimeout) {
    return true;
  }
  const tracked_instance* instance = mContext.members.Find(head.instance);
  const bool applied =
    mContext.appliedByRouters >= transition->second.tableVersion || passed >= kRouterApplyTimeout;
  if (!applied || !instance->state || instance->stateReadSentAt < transition->second.enteredAt) {
    return false;
  }
  const member_state& state = *instance->state;
  const bool reassigned = state.group != aGroup.id || state.version != aGroup.version ||
                          state.state == engine_state::idle;
  return reassigned || (state.state == engine_state::draining && state.inFlight == 0);
}

bool
group_reconciler::AreAllMembersReady(const group& aGroup) const
{
  const time_point enteredAt = StateEnteredAt(aGroup);
  for (std::size_t rank = 0; rank < aGroup.members.size(); ++rank) {
    const tracked_instance* instance = mContext.members.Find(aGroup.members[rank].instance);
    if (!instance->state || instance->stateReadSentAt < enteredAt) {
      return false;
    }
    if (!instance->listed.checksFencingTokens &&
        instance->stateReadSentAt < mContext.previousOwnerExpiry) {
      return false;
    }
    if (!IsReadyFor(*instance->state, aGroup, rank)) {
      return false;
    }
  }
  return AreAllMembersPresent(*mContext.members.Find(aGroup.members.front().instance)->state,
                              aGroup);
}

bool
group_reconciler::HasMismatchedMember(const group& aGroup) const
{
  const time_point enteredAt = StateEnteredAt(aGroup);
  for (std::size_t rank = 0; rank < aGroup.members.size(); ++rank) {
    const tracked_instance* instance = mContext.members.Find(aGroup.members[rank].instance);
    const bool fresh = instance->state && instance->stateReadSentAt >= enteredAt;
    if (fresh && !IsReadyFor(*instance->state, aGroup, rank)) {
      return true;
    }
  }
  return false;
}

void
group_reconciler::DropExcess()
{
  std::map<service_name, std::uint64_t> active;
  for (const group& entry : mNext.groups) {
    active[entry.service] = CountActiveGroups(entry.service);
  }
  std::vector<const group*> order;
  for (const group& entry : mNext.groups) {
    const bool idle = entry.state == group_state::forming || entry.state == group_state::loading;
    if (idle) {
      order.push_back(&entry);
    }
  }
  std::stable_sort(order.begin(), order.end(), [](const group* aLeft, const group* aRight) {
    const auto key = [](const group* aGroup) {
      return std::pair(aGroup->state == group_state::loading, aGroup->members.size());
    };
    return key(aLeft) < key(aRight);
  });
  std::set<group_id> dropped;
  for (const group* entry : order) {
    if (active[entry->service] > DomainShare(entry->service)) {
      --active[entry->service];
      dropped.insert(entry->id);
      LogDecision(kGroupDropped, *entry, "more groups than planned for this domain");
    }
  }
  std::erase_if(mNext.groups, [&](const group& aGroup) { return dropped.contains(aGroup.id); });
}

std::vector<const tracked_instance*>
group_reconciler::FreeInstancesFor(const model_spec& aModel) const
{
  std::vector<const tracked_instance*> free;
  for (const auto& [id, instance] : mContext.members.All()) {
    // Without member replacement a new group is formed only from instances that were released.
    const bool released = mContext.policy.replaceMembers ||
                          (instance.state.has_value() && instance.state->group.Empty());
    if (released && mContext.members.IsFree(id, mContext.now) && !IsAssigned(mNext, id)) {
      free.push_back(&instance);
    }
  }
  if (!mContext.policy.preferResident) {
    return free;
  }
  std::stable_sort(free.begin(), free.end(), [&](const auto* aLeft, const auto* aRight) {
    return IsResident(*aLeft->state, aModel) > IsResident(*aRight->state, aModel);
  });
  return free;
}

std::uint64_t
group_reconciler::CountLoads(const group& aGroup) const
{
  std::uint64_t loads = 0;
  for (const group_member& member : aGroup.members) {
    const tracked_instance* instance = mContext.members.Find(member.instance);
    const bool resident =
      instance != nullptr && instance->state && IsResident(*instance->state, aGroup.model);
    loads += resident ? 0 : 1;
  }
  return loads;
}

void
group_reconciler::PrepareLoading(group& aGroup)
{
  aGroup.loads = CountLoads(aGroup);
  aGroup.state = aGroup.loads == 0 ? group_state::loading : group_state::forming;
  const tracked_instance* head = mContext.members.Find(aGroup.members.front().instance);
  aGroup.zone = head->listed.zone;
}

void
group_reconciler::RefillIncomplete()
{
  std::vector<group*> incomplete;
  for (group& entry : mNext.groups) {
    if (entry.state == group_state::forming && !HasAllMembers(entry)) {
      incomplete.push_back(&entry);
    }
  }
  std::stable_sort(
    incomplete.begin(), incomplete.end(), [&](const group* aLeft, const group* aRight) {
      return std::pair(PriorityOf(*aLeft), aLeft->members.size()) >
             std::pair(PriorityOf(*aRight), aRight->members.size());
    });
  for (std::size_t index = 0; index < incomplete.size(); ++index) {
    std::vector<group_id> donors;
    for (std::size_t other = incomplete.size(); other > index + 1; --other) {
      donors.push_back(incomplete[other - 1]->id);
    }
    if (Refill(*incomplete[index], donors)) {
      LogDecision(kGroupRepaired, *incomplete[index], MemberList(*incomplete[index]));
    }
  }
  std::erase_if(mNext.groups, [](const group& aGroup) { return aGroup.members.empty(); });
}

bool
group_reconciler::Refill(group& aGroup, const std::vector<group_id>& aDonors)
{
  const service_document* document = DocumentOf(aGroup.service);
  if (aGroup.members.empty() || document == nullptr) {
    return false;
  }
  const auto size = static_cast<std::size_t>(document->capacity.instancesPerReplica);
  std::vector<group_member> found;
  for (const tracked_instance* instance : FreeInstancesFor(aGroup.model)) {
    found.push_back(
      { instance->listed.id, instance->listed.address, instance->state->incarnationId });
  }
  std::vector<std::pair<group*, group_member>> donated;
  for (group& donor : mNext.groups) {
    if (ContainsGroup(aDonors, donor.id)) {
      for (const group_member& member : donor.members) {
        donated.emplace_back(&donor, member);
      }
    }
  }
  if (aGroup.members.size() + found.size() + donated.size() < size) {
    return false;
  }
  for (const group_member& member : found) {
    if (aGroup.members.size() < size) {
      aGroup.members.push_back(member);
    }
  }
  for (auto& [donor, member] : donated) {
    if (aGroup.members.size() < size) {
      std::erase(donor->members, member);
      aGroup.members.push_back(member);
    }
  }
  PrepareLoading(aGroup);
  return true;
}

bool
group_reconciler::IsOtherServiceWaiting(const group& aIncomplete) const
{
  for (const service_document* document : ServicesByPriority()) {
    const bool tooFew = CountActiveGroups(document->service) < DomainShare(document->service);
    if (document->service != aIncomplete.service && tooFew) {
      return true;
    }
  }
  return !mContext.plan.unmet.empty();
}

void
group_reconciler::DropExpiredIncomplete()
{
  std::erase_if(mNext.groups, [&](const group& aGroup) {
    const bool incomplete = aGroup.state == group_state::forming && !HasAllMembers(aGroup);
    const bool expired =
      mContext.now - StateEnteredAt(aGroup) >= IncompleteHoldTime(mContext.weights);
    const bool drop = incomplete && expired && IsOtherServiceWaiting(aGroup);
    if (drop) {
      LogDecision(kGroupDropped, aGroup, "incomplete for too long while other services wait");
    }
    return drop;
  });
}

std::vector<const service_document*>
group_reconciler::ServicesByPriority() const
{
  std::vector<const service_document*> documents;
  for (const auto& [name, entry] : mContext.documents) {
    if (entry.document.kind == service_kind::model && !entry.document.retired) {
      documents.push_back(&entry.document);
    }
  }
  std::stable_sort(documents.begin(), documents.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->priority > aRight->priority;
  });
  return documents;
}

void
group_reconciler::FormMissing()
{
  for (const service_document* document : ServicesByPriority()) {
    std::uint64_t active = CountActiveGroups(document->service);
    while (active < DomainShare(document->service) && FormGroup(*document)) {
      ++active;
    }
  }
}

bool
group_reconciler::FormGroup(const service_document& aDocument)
{
  const auto size = static_cast<std::size_t>(aDocument.capacity.instancesPerReplica);
  const auto free = FreeInstancesFor(aDocument.model);
  if (free.size() < size) {
    return false;
  }
  group formed;
  formed.id.value = fmt::format("{}-{}", mTable.domain.value, mContext.random.NextHex());
  formed.service = aDocument.service;
  formed.model = aDocument.model;
  formed.version = { 1 };
  for (std::size_t index = 0; index < size; ++index) {
    const tracked_instance& instance = *free[index];
    formed.members.push_back(
      { instance.listed.id, instance.listed.address, instance.state->incarnationId });
  }
  PrepareLoading(formed);
  LogDecision(kGroupFormed, formed, MemberList(formed));
  mNext.groups.push_back(std::move(formed));
  return true;
}

void
group_reconciler::AdvanceGenerations()
{
  for (group& entry : mNext.groups) {
    for (const group& before : mTable.groups) {
      const bool changed = before.members != entry.members || before.model != entry.model;
      if (before.id == entry.id && changed) {
        entry.version = before.version.Next();
      }
    }
  }
}

} // namespace persimmon::placement
