#include "placement/internal/planbuilder.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::placement {
namespace {

bool
ById(const planned_group& aLeft, const planned_group& aRight)
{
  return aLeft.entry->id < aRight.entry->id;
}

} // namespace

plan_builder::plan_builder(const planner_input& aInput, const planner_options& aOptions)
  : mInput(aInput)
  , mOptions(aOptions)
{
}

placement_plan
plan_builder::Build()
{
  mPlan.planner = mOptions.self;
  MeasureDomains();
  SortGroups();
  for (planned_service& service : mServices) {
    StopExcess(service);
  }
  KeepBroken();
  PlaceMissing(true);
  PlaceMissing(false);
  for (planned_service& service : mServices) {
    Replace(service);
  }
  ReportUnmet();
  MoveForUnmet();
  GrantLoads();
  AddShares();
  return std::move(mPlan);
}

void
plan_builder::MeasureDomains()
{
  std::set<instance_id> absent;
  for (const auto& [name, table] : mInput.tables) {
    mRooms[name].name = name;
    absent.insert(table.absent.begin(), table.absent.end());
  }
  for (const platform::listed_instance& instance : mInput.instances) {
    const bool placeable =
      !instance.isInternal && instance.service.Empty() && !instance.domain.Empty();
    if (!placeable || instance.leaving || absent.contains(instance.id)) {
      continue;
    }
    domain_room& room = mRooms[instance.domain];
    room.name = instance.domain;
    room.zone = instance.zone;
    ++room.usable;
    mUsable.insert(instance.id);
  }
}

void
plan_builder::SortGroups()
{
  for (const auto& [name, entry] : mInput.documents) {
    if (entry.document.kind == service_kind::model) {
      mServices.emplace_back();
      mServices.back().document = &entry.document;
    }
  }
  std::stable_sort(mServices.begin(), mServices.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.document->priority > aRight.document->priority;
  });
  for (std::size_t index = 0; index < mServices.size(); ++index) {
    mIndex[mServices[index].document->service] = index;
  }
  for (const auto& [name, table] : mInput.tables) {
    for (const group& entry : table.groups) {
      SortGroup(entry, mRooms[name]);
    }
  }
  for (planned_service& service : mServices) {
    std::sort(service.kept.begin(), service.kept.end(), ById);
    std::sort(service.outdated.begin(), service.outdated.end(), ById);
    std::sort(service.broken.begin(), service.broken.end(), ById);
  }
}

void
plan_builder::SortGroup(const group& aGroup, domain_room& aRoom)
{
  planned_group planned{ &aGroup, &aRoom, 0, false, false };
  for (const group_member& member : aGroup.members) {
    const bool usable = mUsable.contains(member.instance);
    planned.usableMembers += usable ? 1 : 0;
  }
  aRoom.occupied += planned.usableMembers;
  const auto found = mIndex.find(aGroup.service);
  if (found == mIndex.end()) {
    // No document was understood yet: leave its groups as they are.
    aRoom.planned += planned.usableMembers;
    ++mShares[{ aGroup.service, aRoom.name }];
    return;
  }
  planned_service& service = mServices[found->second];
  if (aGroup.state == group_state::draining) {
    ++service.draining;
    return;
  }
  if (service.document->retired) {
    mPlan.stops.push_back(aGroup.id);
    return;
  }
  const auto members = static_cast<std::int64_t>(aGroup.members.size());
  const bool moves = mInput.previous != nullptr && Names(mInput.previous->moves, aGroup.id);
  planned.ending = planned.IsServing() && planned.usableMembers < members;
  planned.outdated = aGroup.model != service.document->model || members > service.Size() ||
                     (planned.IsServing() && members < service.Size()) || planned.ending || moves;
  if (moves) {
    mPlan.moves.push_back(aGroup.id);
    service.leaves = &aRoom;
  }
  if (!planned.outdated && members < service.Size()) {
    service.broken.push_back(planned);
    return;
  }
  aRoom.planned += planned.usableMembers;
  ++service.zones[aRoom.zone];
  (planned.outdated ? service.outdated : service.kept).push_back(planned);
}

void
plan_builder::Stop(planned_service& aService, planned_group& aGroup)
{
  mPlan.stops.push_back(aGroup.entry->id);
  aGroup.room->planned -= aGroup.usableMembers;
  --aService.zones[aGroup.room->zone];
}

void
plan_builder::StopExcess(planned_service& aService)
{
  if (aService.document->retired) {
    return;
  }
  std::stable_sort(
    aService.kept.begin(), aService.kept.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.IsServing() > aRight.IsServing();
    });
  while (aService.outdated.empty() && aService.Total() > aService.Wanted()) {
    Stop(aService, aService.kept.back());
    aService.kept.pop_back();
  }
}

void
plan_builder::KeepBroken()
{
  for (planned_service& service : mServices) {
    for (planned_group& broken : service.broken) {
      const bool fits = broken.room->Later() >= service.Size();
      if (!service.document->retired && fits && service.Total() < service.Wanted()) {
        broken.room->planned += service.Size();
        // Its members are there already; only the missing ones take room.
        broken.room->added += service.Size() - broken.usableMembers;
        ++service.zones[broken.room->zone];
        service.kept.push_back(broken);
      }
    }
  }
}

std::uint64_t
plan_builder::CountPlanned(const planned_service& aService, const domain_room& aRoom) const
{
  const auto here = [&](const planned_group& aGroup) { return aGroup.room == &aRoom; };
  const auto added = mShares.find({ aService.document->service, aRoom.name });
  const auto groups = std::count_if(aService.kept.begin(), aService.kept.end(), here) +
                      std::count_if(aService.outdated.begin(), aService.outdated.end(), here);
  return static_cast<std::uint64_t>(groups) + (added == mShares.end() ? 0 : added->second);
}

domain_room*
plan_builder::PromisedRoom(const planned_service& aService, bool aNow)
{
  if (mInput.previous == nullptr) {
    return nullptr;
  }
  for (const service_share& share : mInput.previous->shares) {
    const auto found = mRooms.find(share.domain);
    if (share.service != aService.document->service || found == mRooms.end()) {
      continue;
    }
    domain_room& room = found->second;
    const std::int64_t space = aNow ? room.Now() : room.Later();
    const bool promised = CountPlanned(aService, room) < share.groups;
    if (promised && space >= aService.Size() && &room != aService.leaves) {
      return &room;
    }
  }
  return nullptr;
}

domain_room*
plan_builder::BestRoom(const planned_service& aService, bool aNow)
{
  domain_room* best = nullptr;
  std::pair<std::int64_t, std::int64_t> bestKey;
  for (auto& [name, room] : mRooms) {
    const std::int64_t space = aNow ? room.Now() : room.Later();
    if (space < aService.Size() || &room == aService.leaves) {
      continue;
    }
    if (!mOptions.policy.bestFit) {
      return &room;
    }
    const auto inZone = aService.zones.find(room.zone);
    const std::pair key(inZone == aService.zones.end() ? 0 : inZone->second, space);
    if (best == nullptr || key < bestKey) {
      best = &room;
      bestKey = key;
    }
  }
  return best;
}

void
plan_builder::Give(planned_service& aService, domain_room& aRoom)
{
  aRoom.planned += aService.Size();
  aRoom.added += aService.Size();
  ++aService.added;
  ++aService.zones[aRoom.zone];
  ++mShares[{ aService.document->service, aRoom.name }];
}

bool
plan_builder::Place(planned_service& aService, bool aNowOnly)
{
  domain_room* room = PromisedRoom(aService, aNowOnly);
  if (room == nullptr) {
    room = BestRoom(aService, true);
  }
  if (room == nullptr && !aNowOnly) {
    room = BestRoom(aService, false);
  }
  if (room != nullptr) {
    Give(aService, *room);
  }
  return room != nullptr;
}

void
plan_builder::PlaceMissing(bool aMinimumOnly)
{
  for (planned_service& service : mServices) {
    const std::int64_t minimum = std::min(service.document->capacity.minimum, service.Wanted());
    const std::int64_t target = aMinimumOnly ? minimum : service.Wanted();
    while (!service.document->retired && service.Total() < target && Place(service, false)) {
    }
  }
}

std::int64_t
plan_builder::CountServing(const planned_service& aService) const
{
  const auto serving = [](const planned_group& aGroup) { return aGroup.IsServing(); };
  return std::count_if(aService.kept.begin(), aService.kept.end(), serving) +
         std::count_if(aService.outdated.begin(), aService.outdated.end(), serving);
}

std::int64_t
plan_builder::CountForming(const planned_service& aService) const
{
  const std::int64_t forming =
    std::count_if(aService.kept.begin(), aService.kept.end(), [](const planned_group& aGroup) {
      return !aGroup.IsServing();
    });
  return forming + aService.added;
}

std::int64_t
plan_builder::MostAtOnce(const planned_service& aService) const
{
  const auto slots = static_cast<std::int64_t>(mOptions.loadSlots);
  return std::max<std::int64_t>(1, slots / std::max<std::int64_t>(1, aService.Size()));
}

void
plan_builder::Replace(planned_service& aService)
{
  if (aService.outdated.empty() || aService.document->retired) {
    return;
  }
  const std::int64_t most = MostAtOnce(aService);
  ReplaceBySurge(aService, most);
  StopOutdated(aService, most);
}

void
plan_builder::ReplaceBySurge(planned_service& aService, std::int64_t aMost)
{
  const auto outdated = static_cast<std::int64_t>(aService.outdated.size());
  const std::int64_t target = aService.Wanted() + std::min(aMost, outdated);
  while (aService.Total() < target && CountForming(aService) < aMost && Place(aService, true)) {
  }
}

void
plan_builder::StopOutdated(planned_service& aService, std::int64_t aMost)
{
  const std::int64_t serving = CountServing(aService);
  const bool surges = aService.Total() > aService.Wanted();
  const std::int64_t minimum = std::min(aService.document->capacity.minimum, aService.Wanted());
  const std::int64_t underWay = CountForming(aService) + aService.draining;
  std::int64_t allowed = surges ? serving - aService.Wanted() : serving - minimum;
  if (!surges) {
    allowed = std::min(allowed, aMost - underWay);
    // Where there is no room to keep the minimum, one group at a time goes below it.
    allowed = allowed <= 0 && underWay == 0 ? 1 : allowed;
  }
  std::stable_sort(
    aService.outdated.begin(), aService.outdated.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.IsServing(), !aLeft.ending) <
             std::pair(aRight.IsServing(), !aRight.ending);
    });
  for (planned_group& outdated : aService.outdated) {
    const bool stopsServing = outdated.IsServing();
    if (stopsServing && allowed <= 0) {
      continue;
    }
    const bool fits = outdated.room->Later() + outdated.usableMembers >= aService.Size();
    if (stopsServing && outdated.ending && !surges && !fits) {
      continue;
    }
    allowed -= stopsServing ? 1 : 0;
    Stop(aService, outdated);
    outdated.entry = nullptr;
  }
  std::erase_if(aService.outdated, [](const auto& aGroup) { return aGroup.entry == nullptr; });
  while (aService.Total() < aService.Wanted() && Place(aService, false)) {
  }
}

void
plan_builder::MoveForUnmet()
{
  const bool moving = !mPlan.moves.empty();
  if (moving || mPlan.unmet.empty()) {
    return;
  }
  for (const unmet_service& unmet : mPlan.unmet) {
    const planned_service& waiting = mServices[mIndex[unmet.service]];
    for (planned_service& service : mServices) {
      for (const planned_group& kept : service.kept) {
        const bool opens = kept.IsServing() && service.Size() < waiting.Size() &&
                           kept.room->Now() + kept.usableMembers >= waiting.Size();
        service.leaves = kept.room;
        domain_room* target = opens ? BestRoom(service, true) : nullptr;
        service.leaves = nullptr;
        if (target != nullptr) {
          mPlan.moves.push_back(kept.entry->id);
          Give(service, *target);
          return;
        }
      }
    }
  }
}

std::string
plan_builder::WhyUnmet(const planned_service& aService) const
{
  const domain_room* largest = nullptr;
  std::int64_t all = 0;
  for (const auto& [name, room] : mRooms) {
    const std::int64_t space = std::max<std::int64_t>(room.Later(), 0);
    all += space;
    if (largest == nullptr || room.Later() > largest->Later()) {
      largest = &room;
    }
  }
  if (largest == nullptr) {
    return "the platform lists no instances in fabric domains";
  }
  return fmt::format("needs {} instances in one fabric domain; the most that are left are {} in "
                     "{} ({} in all domains)",
                     aService.Size(),
                     std::max<std::int64_t>(largest->Later(), 0),
                     largest->name.value,
                     all);
}

void
plan_builder::ReportUnmet()
{
  for (const planned_service& service : mServices) {
    if (service.document->retired || service.Total() >= service.Wanted()) {
      continue;
    }
    mPlan.unmet.push_back({ service.document->service,
                            static_cast<std::uint64_t>(service.Wanted()),
                            static_cast<std::uint64_t>(service.Total()),
                            WhyUnmet(service) });
  }
}

void
plan_builder::GrantLoads()
{
  struct candidate
  {
    const group* entry;
    bool belowMinimum;
    std::int64_t priority;
  };
  std::vector<candidate> waiting;
  std::uint64_t used = 0;
  for (const planned_service& service : mServices) {
    const bool below = CountServing(service) < service.document->capacity.minimum;
    for (const planned_group& kept : service.kept) {
      const group& entry = *kept.entry;
      if (entry.loads == 0 || kept.IsServing()) {
        continue;
      }
      const bool granted = mInput.previous != nullptr && Names(mInput.previous->loads, entry.id);
      if (entry.state == group_state::loading || granted) {
        used += entry.loads;
        mPlan.loads.push_back(entry.id);
      } else if (static_cast<std::int64_t>(entry.members.size()) == service.Size()) {
        waiting.push_back({ &entry, below, service.document->priority });
      }
    }
  }
  // Each group that is ready sooner saves the same downtime: fewest loads first.
  std::stable_sort(waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
    const auto key = [](const candidate& aGroup) {
      return std::tuple(!aGroup.belowMinimum, -aGroup.priority, aGroup.entry->loads);
    };
    return key(aLeft) < key(aRight);
  });
  for (const candidate& next : waiting) {
    if (used > 0 && used + next.entry->loads > mOptions.loadSlots) {
      break;
    }
    used += next.entry->loads;
    mPlan.loads.push_back(next.entry->id);
  }
}

void
plan_builder::AddShares()
{
  for (const planned_service& service : mServices) {
    for (const auto* groups : { &service.kept, &service.outdated }) {
      for (const planned_group& entry : *groups) {
        ++mShares[{ service.document->service, entry.room->name }];
      }
    }
  }
  for (const auto& [where, groups] : mShares) {
    mPlan.shares.push_back({ where.first, where.second, groups });
  }
  std::sort(mPlan.stops.begin(), mPlan.stops.end());
  std::sort(mPlan.loads.begin(), mPlan.loads.end());
  std::sort(mPlan.moves.begin(), mPlan.moves.end());
}

} // namespace persimmon::placement
