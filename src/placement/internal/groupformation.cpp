#include "placement/internal/groupformation.h"

#include "placement/internal/groupcheck.h"
#include "placement/internal/memberlist.h"
#include "placement/placementevents.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace persimmon::placement {
namespace {

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

void
group_formation::DropExcess()
{
  std::map<service_name, std::uint64_t> active;
  for (const group& entry : mDraft.Next().groups) {
    active[entry.service] = mDraft.CountActiveGroups(entry.service);
  }
  std::vector<const group*> order;
  for (const group& entry : mDraft.Next().groups) {
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
    if (active[entry->service] > mDraft.DomainShare(entry->service)) {
      --active[entry->service];
      dropped.insert(entry->id);
      mDraft.LogDecision(kGroupDropped, *entry, "more groups than planned for this domain");
    }
  }
  std::erase_if(mDraft.Next().groups,
                [&](const group& aGroup) { return dropped.contains(aGroup.id); });
}

std::vector<const tracked_instance*>
group_formation::FreeInstancesFor(const model_spec& aModel) const
{
  std::vector<const tracked_instance*> free;
  for (const auto& [id, instance] : mDraft.Context().members.All()) {
    // Without member replacement a new group is formed only from instances that were released.
    const bool released = mDraft.Context().policy.replaceMembers ||
                          (instance.state.has_value() && instance.state->group.Empty());
    if (released && mDraft.Context().members.IsFree(id, mDraft.Context().now) &&
        !IsAssigned(mDraft.Next(), id)) {
      free.push_back(&instance);
    }
  }
  if (!mDraft.Context().policy.preferResident) {
    return free;
  }
  std::stable_sort(free.begin(), free.end(), [&](const auto* aLeft, const auto* aRight) {
    return IsResident(*aLeft->state, aModel) > IsResident(*aRight->state, aModel);
  });
  return free;
}

std::uint64_t
group_formation::CountLoads(const group& aGroup) const
{
  std::uint64_t loads = 0;
  for (const group_member& member : aGroup.members) {
    const tracked_instance* instance = mDraft.Context().members.Find(member.instance);
    const bool resident =
      instance != nullptr && instance->state && IsResident(*instance->state, aGroup.model);
    loads += resident ? 0 : 1;
  }
  return loads;
}

void
group_formation::PrepareLoading(group& aGroup)
{
  aGroup.loads = CountLoads(aGroup);
  aGroup.state = aGroup.loads == 0 ? group_state::loading : group_state::forming;
  const tracked_instance* head = mDraft.Context().members.Find(aGroup.members.front().instance);
  aGroup.zone = head->listed.zone;
}

void
group_formation::RefillIncomplete()
{
  std::vector<group*> incomplete;
  for (group& entry : mDraft.Next().groups) {
    if (entry.state == group_state::forming && !mDraft.HasAllMembers(entry)) {
      incomplete.push_back(&entry);
    }
  }
  std::stable_sort(
    incomplete.begin(), incomplete.end(), [&](const group* aLeft, const group* aRight) {
      return std::pair(mDraft.PriorityOf(*aLeft), aLeft->members.size()) >
             std::pair(mDraft.PriorityOf(*aRight), aRight->members.size());
    });
  for (std::size_t index = 0; index < incomplete.size(); ++index) {
    std::vector<group_id> donors;
    for (std::size_t other = incomplete.size(); other > index + 1; --other) {
      donors.push_back(incomplete[other - 1]->id);
    }
    if (Refill(*incomplete[index], donors)) {
      mDraft.LogDecision(kGroupRepaired, *incomplete[index], MemberList(*incomplete[index]));
    }
  }
  std::erase_if(mDraft.Next().groups, [](const group& aGroup) { return aGroup.members.empty(); });
}

bool
group_formation::Refill(group& aGroup, const std::vector<group_id>& aDonors)
{
  const service_document* document = mDraft.DocumentOf(aGroup.service);
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
  for (group& donor : mDraft.Next().groups) {
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
group_formation::IsOtherServiceWaiting(const group& aIncomplete) const
{
  for (const service_document* document : mDraft.ServicesByPriority()) {
    const bool tooFew =
      mDraft.CountActiveGroups(document->service) < mDraft.DomainShare(document->service);
    if (document->service != aIncomplete.service && tooFew) {
      return true;
    }
  }
  return !mDraft.Context().plan.unmet.empty();
}

void
group_formation::DropExpiredIncomplete()
{
  std::erase_if(mDraft.Next().groups, [&](const group& aGroup) {
    const bool incomplete = aGroup.state == group_state::forming && !mDraft.HasAllMembers(aGroup);
    const bool expired = mDraft.Context().now - mDraft.StateEnteredAt(aGroup) >=
                         IncompleteHoldTime(mDraft.Context().weights);
    const bool drop = incomplete && expired && IsOtherServiceWaiting(aGroup);
    if (drop) {
      mDraft.LogDecision(
        kGroupDropped, aGroup, "incomplete for too long while other services wait");
    }
    return drop;
  });
}

void
group_formation::FormMissing()
{
  for (const service_document* document : mDraft.ServicesByPriority()) {
    std::uint64_t active = mDraft.CountActiveGroups(document->service);
    while (active < mDraft.DomainShare(document->service) && FormGroup(*document)) {
      ++active;
    }
  }
}

bool
group_formation::FormGroup(const service_document& aDocument)
{
  const auto size = static_cast<std::size_t>(aDocument.capacity.instancesPerReplica);
  const auto free = FreeInstancesFor(aDocument.model);
  if (free.size() < size) {
    return false;
  }
  group formed;
  formed.id.value =
    fmt::format("{}-{}", mDraft.Current().domain.value, mDraft.Context().random.NextHex());
  formed.service = aDocument.service;
  formed.model = aDocument.model;
  formed.version = { 1 };
  for (std::size_t index = 0; index < size; ++index) {
    const tracked_instance& instance = *free[index];
    formed.members.push_back(
      { instance.listed.id, instance.listed.address, instance.state->incarnationId });
  }
  PrepareLoading(formed);
  mDraft.LogDecision(kGroupFormed, formed, MemberList(formed));
  mDraft.Next().groups.push_back(std::move(formed));
  return true;
}

} // namespace persimmon::placement
