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
  ComputeDomainCapacity();
  ClassifyGroups();
  for (planned_service& service : mServices) {
    StopExcess(service);
  }
  KeepIncomplete();
  PlaceMissing(true);
  PlaceMissing(false);
  for (planned_service& service : mServices) {
    ReplaceOutdated(service);
  }
  ReportUnmet();
  MoveForUnmet();
  GrantLoads();
  AddShares();
  return std::move(mPlan);
}

void
plan_builder::ComputeDomainCapacity()
{
  std::set<instance_id> absent;
  for (const auto& [name, table] : mInput.tables) {
    mDomains[name].name = name;
    absent.insert(table.absent.begin(), table.absent.end());
  }
  for (const platform::listed_instance& instance : mInput.instances) {
    const bool placeable =
      !instance.isInternal && instance.service.Empty() && !instance.domain.Empty();
    if (!placeable || instance.leaving || absent.contains(instance.id)) {
      continue;
    }
    domain_capacity& domain = mDomains[instance.domain];
    domain.name = instance.domain;
    domain.zone = instance.zone;
    ++domain.usable;
    mUsable.insert(instance.id);
  }
}

void
plan_builder::ClassifyGroups()
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
      ClassifyGroup(entry, mDomains[name]);
    }
  }
  for (planned_service& service : mServices) {
    std::sort(service.kept.begin(), service.kept.end(), ById);
    std::sort(service.outdated.begin(), service.outdated.end(), ById);
    std::sort(service.incomplete.begin(), service.incomplete.end(), ById);
  }
}

void
plan_builder::ClassifyGroup(const group& aGroup, domain_capacity& aDomain)
{
  planned_group planned{ &aGroup, &aDomain, 0, false, false };
  for (const group_member& member : aGroup.members) {
    const bool usable = mUsable.contains(member.instance);
    planned.usableMembers += usable ? 1 : 0;
  }
  aDomain.occupied += planned.usableMembers;
  const auto found = mIndex.find(aGroup.service);
  if (found == mIndex.end()) {
    // No valid document of the service was read yet: its groups stay unchanged.
    aDomain.planned += planned.usableMembers;
    ++mShares[{ aGroup.service, aDomain.name }];
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
  const bool moves = mInput.previous != nullptr && ContainsGroup(mInput.previous->moves, aGroup.id);
  planned.hasUnusableMember = planned.IsServing() && planned.usableMembers < members;
  planned.outdated = aGroup.model != service.document->model || members > service.GroupSize() ||
                     (planned.IsServing() && members < service.GroupSize()) ||
                     planned.hasUnusableMember || moves;
  if (moves) {
    mPlan.moves.push_back(aGroup.id);
    service.excludedDomain = &aDomain;
  }
  if (!planned.outdated && members < service.GroupSize()) {
    service.incomplete.push_back(planned);
    return;
  }
  aDomain.planned += planned.usableMembers;
  ++service.groupsPerZone[aDomain.zone];
  (planned.outdated ? service.outdated : service.kept).push_back(planned);
}

void
plan_builder::Stop(planned_service& aService, planned_group& aGroup)
{
  mPlan.stops.push_back(aGroup.entry->id);
  aGroup.domain->planned -= aGroup.usableMembers;
  --aService.groupsPerZone[aGroup.domain->zone];
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
plan_builder::KeepIncomplete()
{
  for (planned_service& service : mServices) {
    for (planned_group& incomplete : service.incomplete) {
      const bool fits = incomplete.domain->FreeAfterStops() >= service.GroupSize();
      if (!service.document->retired && fits && service.Total() < service.Wanted()) {
        incomplete.domain->planned += service.GroupSize();
        // The present members already occupy instances; only the missing ones need capacity.
        incomplete.domain->added += service.GroupSize() - incomplete.usableMembers;
        ++service.groupsPerZone[incomplete.domain->zone];
        service.kept.push_back(incomplete);
      }
    }
  }
}

std::uint64_t
plan_builder::CountPlannedGroups(const planned_service& aService,
                                 const domain_capacity& aDomain) const
{
  const auto here = [&](const planned_group& aGroup) { return aGroup.domain == &aDomain; };
  const auto added = mShares.find({ aService.document->service, aDomain.name });
  const auto groups = std::count_if(aService.kept.begin(), aService.kept.end(), here) +
                      std::count_if(aService.outdated.begin(), aService.outdated.end(), here);
  return static_cast<std::uint64_t>(groups) + (added == mShares.end() ? 0 : added->second);
}

domain_capacity*
plan_builder::PreviouslyPlannedDomain(const planned_service& aService, bool aFreeNow)
{
  if (mInput.previous == nullptr) {
    return nullptr;
  }
  for (const service_share& share : mInput.previous->shares) {
    const auto found = mDomains.find(share.domain);
    if (share.service != aService.document->service || found == mDomains.end()) {
      continue;
    }
    domain_capacity& domain = found->second;
    const std::int64_t free = aFreeNow ? domain.FreeNow() : domain.FreeAfterStops();
    const bool planned = CountPlannedGroups(aService, domain) < share.groups;
    if (planned && free >= aService.GroupSize() && &domain != aService.excludedDomain) {
      return &domain;
    }
  }
  return nullptr;
}

domain_capacity*
plan_builder::BestDomain(const planned_service& aService, bool aFreeNow)
{
  domain_capacity* best = nullptr;
  std::pair<std::int64_t, std::int64_t> bestKey;
  for (auto& [name, domain] : mDomains) {
    const std::int64_t free = aFreeNow ? domain.FreeNow() : domain.FreeAfterStops();
    if (free < aService.GroupSize() || &domain == aService.excludedDomain) {
      continue;
    }
    if (!mOptions.policy.bestFit) {
      return &domain;
    }
    const auto inZone = aService.groupsPerZone.find(domain.zone);
    const std::pair key(inZone == aService.groupsPerZone.end() ? 0 : inZone->second, free);
    if (best == nullptr || key < bestKey) {
      best = &domain;
      bestKey = key;
    }
  }
  return best;
}

void
plan_builder::Assign(planned_service& aService, domain_capacity& aDomain)
{
  aDomain.planned += aService.GroupSize();
  aDomain.added += aService.GroupSize();
  ++aService.added;
  ++aService.groupsPerZone[aDomain.zone];
  ++mShares[{ aService.document->service, aDomain.name }];
}

bool
plan_builder::PlaceGroup(planned_service& aService, bool aFreeNowOnly)
{
  domain_capacity* domain = PreviouslyPlannedDomain(aService, aFreeNowOnly);
  if (domain == nullptr) {
    domain = BestDomain(aService, true);
  }
  if (domain == nullptr && !aFreeNowOnly) {
    domain = BestDomain(aService, false);
  }
  if (domain != nullptr) {
    Assign(aService, *domain);
  }
  return domain != nullptr;
}

void
plan_builder::PlaceMissing(bool aMinimumOnly)
{
  for (planned_service& service : mServices) {
    const std::int64_t minimum = std::min(service.document->capacity.minReplicas, service.Wanted());
    const std::int64_t target = aMinimumOnly ? minimum : service.Wanted();
    while (!service.document->retired && service.Total() < target && PlaceGroup(service, false)) {
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
plan_builder::MaxConcurrentReplacements(const planned_service& aService) const
{
  const auto slots = static_cast<std::int64_t>(mOptions.loadSlots);
  return std::max<std::int64_t>(1, slots / std::max<std::int64_t>(1, aService.GroupSize()));
}

void
plan_builder::ReplaceOutdated(planned_service& aService)
{
  if (aService.outdated.empty() || aService.document->retired) {
    return;
  }
  const std::int64_t maxConcurrent = MaxConcurrentReplacements(aService);
  ReplaceBySurge(aService, maxConcurrent);
  StopOutdated(aService, maxConcurrent);
}

void
plan_builder::ReplaceBySurge(planned_service& aService, std::int64_t aMaxConcurrent)
{
  const auto outdated = static_cast<std::int64_t>(aService.outdated.size());
  const std::int64_t target = aService.Wanted() + std::min(aMaxConcurrent, outdated);
  while (aService.Total() < target && CountForming(aService) < aMaxConcurrent &&
         PlaceGroup(aService, true)) {
  }
}

void
plan_builder::StopOutdated(planned_service& aService, std::int64_t aMaxConcurrent)
{
  const std::int64_t serving = CountServing(aService);
  const bool surging = aService.Total() > aService.Wanted();
  const std::int64_t minimum = std::min(aService.document->capacity.minReplicas, aService.Wanted());
  const std::int64_t inProgress = CountForming(aService) + aService.draining;
  std::int64_t allowed = surging ? serving - aService.Wanted() : serving - minimum;
  if (!surging) {
    allowed = std::min(allowed, aMaxConcurrent - inProgress);
    // Without capacity to maintain the minimum, groups are replaced one at a time below it.
    allowed = allowed <= 0 && inProgress == 0 ? 1 : allowed;
  }
  std::stable_sort(
    aService.outdated.begin(), aService.outdated.end(), [](const auto& aLeft, const auto& aRight) {
      return std::pair(aLeft.IsServing(), !aLeft.hasUnusableMember) <
             std::pair(aRight.IsServing(), !aRight.hasUnusableMember);
    });
  for (planned_group& outdated : aService.outdated) {
    const bool stopsServing = outdated.IsServing();
    if (stopsServing && allowed <= 0) {
      continue;
    }
    const bool fits =
      outdated.domain->FreeAfterStops() + outdated.usableMembers >= aService.GroupSize();
    if (stopsServing && outdated.hasUnusableMember && !surging && !fits) {
      continue;
    }
    allowed -= stopsServing ? 1 : 0;
    Stop(aService, outdated);
    outdated.entry = nullptr;
  }
  std::erase_if(aService.outdated, [](const auto& aGroup) { return aGroup.entry == nullptr; });
  while (aService.Total() < aService.Wanted() && PlaceGroup(aService, false)) {
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
        const bool makesRoom = kept.IsServing() && service.GroupSize() < waiting.GroupSize() &&
                               kept.domain->FreeNow() + kept.usableMembers >= waiting.GroupSize();
        service.excludedDomain = kept.domain;
        domain_capacity* target = makesRoom ? BestDomain(service, true) : nullptr;
        service.excludedDomain = nullptr;
        if (target != nullptr) {
          mPlan.moves.push_back(kept.entry->id);
          Assign(service, *target);
          return;
        }
      }
    }
  }
}

std::string
plan_builder::UnmetReason(const planned_service& aService) const
{
  const domain_capacity* largest = nullptr;
  std::int64_t total = 0;
  for (const auto& [name, domain] : mDomains) {
    const std::int64_t free = std::max<std::int64_t>(domain.FreeAfterStops(), 0);
    total += free;
    if (largest == nullptr || domain.FreeAfterStops() > largest->FreeAfterStops()) {
      largest = &domain;
    }
  }
  if (largest == nullptr) {
    return "the platform lists no instances in fabric domains";
  }
  return fmt::format("needs {} instances in one fabric domain; the most that are left are {} in "
                     "{} ({} in all domains)",
                     aService.GroupSize(),
                     std::max<std::int64_t>(largest->FreeAfterStops(), 0),
                     largest->name.value,
                     total);
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
                            UnmetReason(service) });
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
    const bool below = CountServing(service) < service.document->capacity.minReplicas;
    for (const planned_group& kept : service.kept) {
      const group& entry = *kept.entry;
      if (entry.loads == 0 || kept.IsServing()) {
        continue;
      }
      const bool granted =
        mInput.previous != nullptr && ContainsGroup(mInput.previous->loads, entry.id);
      if (entry.state == group_state::loading || granted) {
        used += entry.loads;
        mPlan.loads.push_back(entry.id);
      } else if (static_cast<std::int64_t>(entry.members.size()) == service.GroupSize()) {
        waiting.push_back({ &entry, below, service.document->priority });
      }
    }
  }
  // Every group saves the same downtime by being ready sooner, so groups with fewer loads go first.
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
        ++mShares[{ service.document->service, entry.domain->name }];
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
