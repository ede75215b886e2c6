#include "fleet/fleetview.h"

#include <algorithm>

namespace persimmon::fleet {
namespace {

/// Identifies one formation of a group; members of different epochs do not belong together.
struct group_key
{
  group_id id;
  generation epoch;

  auto operator<=>(const group_key&) const = default;
};

/// Members by rank. More than one instance can claim a rank.
using members_by_rank = std::map<std::size_t, std::vector<const instance*>>;

/// Builds a group from its known members. Model and phase are those of the head; without a known
/// head they keep their defaults and the group is incomplete.
engine_group
BuildGroup(const group_key& aKey,
           const members_by_rank& aMembers,
           const routes::service_profile& aService)
{
  engine_group group;
  group.id = aKey.id;
  group.epoch = aKey.epoch;
  group.service = aService.name;
  bool ranksUnique = true;
  std::size_t rankCount = 0;
  for (const auto& [rank, candidates] : aMembers) {
    ranksUnique = ranksUnique && candidates.size() == 1 && rank == rankCount;
    ++rankCount;
    for (const instance* candidate : candidates) {
      group.members.push_back(candidate->id);
      group.draining = group.draining || candidate->draining;
    }
  }
  const auto head = aMembers.find(0);
  if (head == aMembers.end()) {
    return group;
  }
  group.model = head->second.front()->model;
  group.headPhase = head->second.front()->membership->phase;
  const routes::model_profile* model = aService.engine->FindModel(group.model);
  group.complete = ranksUnique && model != nullptr && rankCount == model->groupSize;
  return group;
}

} // namespace

const char*
MemberPhaseName(member_phase aPhase)
{
  switch (aPhase) {
    case member_phase::joining:
      return "joining";
    case member_phase::ready:
      return "ready";
    case member_phase::open:
      return "open";
    case member_phase::closing:
      return "closing";
    case member_phase::broken:
      return "broken";
  }
  return "unknown";
}

void
fleet_view::Reset(std::vector<instance> aInstances)
{
  mInstances.clear();
  for (instance& entry : aInstances) {
    Upsert(std::move(entry));
  }
}

void
fleet_view::Upsert(instance aInstance)
{
  const instance_id id = aInstance.id;
  aInstance.draining = aInstance.draining || mLeaving.Contains(id, aInstance.incarnationId);
  mInstances.insert_or_assign(id, std::move(aInstance));
}

void
fleet_view::Remove(const instance_id& aId)
{
  mInstances.erase(aId);
}

bool
fleet_view::MarkLeaving(const instance_id& aId, incarnation aIncarnation)
{
  const bool added = mLeaving.Add(aId, aIncarnation);
  const auto found = mInstances.find(aId);
  if (found != mInstances.end()) {
    found->second.draining =
      found->second.draining || mLeaving.Contains(aId, found->second.incarnationId);
  }
  return added;
}

void
fleet_view::ApplyReport(const instance_id& aId, const engine_report& aReport)
{
  const auto found = mInstances.find(aId);
  if (found == mInstances.end() || aReport.incarnationId < found->second.incarnationId) {
    return;
  }
  instance& entry = found->second;
  if (aReport.incarnationId == entry.incarnationId &&
      aReport.acceptedOrders < entry.acceptedOrders) {
    return;
  }
  if (aReport.incarnationId != entry.incarnationId) {
    entry.mayHaveBegunAt = instance{}.mayHaveBegunAt;
  }
  entry.incarnationId = aReport.incarnationId;
  entry.model = aReport.model;
  entry.stagedModels = aReport.stagedModels;
  entry.membership = aReport.membership;
  entry.acceptedOrders = aReport.acceptedOrders;
}

const instance*
fleet_view::Find(const instance_id& aId) const
{
  const auto found = mInstances.find(aId);
  return found == mInstances.end() ? nullptr : &found->second;
}

std::vector<const instance*>
fleet_view::InstancesOfService(const service_name& aService) const
{
  std::vector<const instance*> found;
  for (const auto& [id, entry] : mInstances) {
    if (entry.service == aService) {
      found.push_back(&entry);
    }
  }
  return found;
}

std::vector<engine_group>
fleet_view::GroupsOfService(const routes::service_profile& aService) const
{
  std::map<group_key, members_by_rank> found;
  if (!aService.engine) {
    return {};
  }
  for (const instance* entry : InstancesOfService(aService.name)) {
    if (entry->membership) {
      found[{ entry->membership->group, entry->membership->epoch }][entry->membership->rank]
        .push_back(entry);
    }
  }
  std::vector<engine_group> groups;
  groups.reserve(found.size());
  for (const auto& [key, members] : found) {
    groups.push_back(BuildGroup(key, members, aService));
  }
  return groups;
}

} // namespace persimmon::fleet
