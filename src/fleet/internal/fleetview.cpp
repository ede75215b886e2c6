#include "fleet/fleetview.h"

#include <algorithm>

namespace persimmon::fleet {
namespace {

struct group_key
{
  group_id id;
  generation epoch;

  auto operator<=>(const group_key&) const = default;
};

using members_by_rank = std::map<std::size_t, std::vector<const instance*>>;

/// Returns the group that some members form; the head decides its model and phase.
engine_group
MakeGroup(const group_key& aKey,
          const members_by_rank& aMembers,
          const routes::service_profile& aService)
{
  engine_group made;
  made.id = aKey.id;
  made.epoch = aKey.epoch;
  made.service = aService.name;
  bool unique = true;
  std::size_t ranks = 0;
  for (const auto& [rank, holders] : aMembers) {
    unique = unique && holders.size() == 1 && rank == ranks;
    ++ranks;
    for (const instance* holder : holders) {
      made.members.push_back(holder->id);
      made.draining = made.draining || holder->draining;
    }
  }
  const auto head = aMembers.find(0);
  if (head == aMembers.end()) {
    return made;
  }
  made.model = head->second.front()->model;
  made.headPhase = head->second.front()->member->phase;
  const routes::model_profile* model = aService.engine->FindModel(made.model);
  made.whole = unique && model != nullptr && ranks == model->groupSize;
  return made;
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
  for (instance& one : aInstances) {
    Put(std::move(one));
  }
}

void
fleet_view::Put(instance aInstance)
{
  const instance_id id = aInstance.id;
  mInstances.insert_or_assign(id, std::move(aInstance));
}

void
fleet_view::Remove(const instance_id& aId)
{
  mInstances.erase(aId);
}

void
fleet_view::Apply(const instance_id& aId, const engine_report& aReport)
{
  const auto found = mInstances.find(aId);
  if (found == mInstances.end() || aReport.life < found->second.life) {
    return;
  }
  instance& known = found->second;
  if (aReport.life == known.life && aReport.orders < known.orders) {
    return;
  }
  known.life = aReport.life;
  known.model = aReport.model;
  known.staged = aReport.staged;
  known.member = aReport.member;
  known.orders = aReport.orders;
}

const instance*
fleet_view::Find(const instance_id& aId) const
{
  const auto found = mInstances.find(aId);
  return found == mInstances.end() ? nullptr : &found->second;
}

std::vector<const instance*>
fleet_view::OfService(const service_name& aService) const
{
  std::vector<const instance*> found;
  for (const auto& [id, one] : mInstances) {
    if (one.service == aService) {
      found.push_back(&one);
    }
  }
  return found;
}

std::vector<engine_group>
fleet_view::Groups(const routes::service_profile& aService) const
{
  std::map<group_key, members_by_rank> found;
  if (!aService.engine) {
    return {};
  }
  for (const instance* one : OfService(aService.name)) {
    if (one->member) {
      found[{ one->member->group, one->member->epoch }][one->member->rank].push_back(one);
    }
  }
  std::vector<engine_group> groups;
  groups.reserve(found.size());
  for (const auto& [key, members] : found) {
    groups.push_back(MakeGroup(key, members, aService));
  }
  return groups;
}

} // namespace persimmon::fleet
