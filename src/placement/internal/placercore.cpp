#include "placement/placercore.h"

#include "placement/ownership.h"
#include "placement/placementevents.h"

#include <algorithm>
#include <iterator>

namespace persimmon::placement {
namespace {

constexpr std::string_view kPlannerSubject = "planner";

} // namespace

placer_core::placer_core(placer_options aOptions, std::uint64_t aSeed)
  : mOptions(std::move(aOptions))
  , mRandom(aSeed)
  , mLease(mOptions.self, mOptions.lease)
  , mPlanner({ mOptions.self, mOptions.weights, mOptions.loadSlots, mOptions.policy })
{
}

placement_actions
placer_core::Release()
{
  return mLease.Release();
}

domain_owner&
placer_core::Owner(const domain_id& aDomain)
{
  const auto found = mDomains.find(aDomain);
  if (found != mDomains.end()) {
    return found->second;
  }
  owner_options options{ mOptions.self, mOptions.weights, mOptions.longestOrder, mOptions.policy };
  return mDomains.emplace(aDomain, domain_owner(aDomain, std::move(options), mRandom.Next()))
    .first->second;
}

placement_actions
placer_core::Handle(const placement_event& aEvent, time_point aNow)
{
  placement_actions actions = mLease.Handle(aEvent, aNow);
  if (const auto* listed = std::get_if<objects_listed>(&aEvent)) {
    OnList(*listed, aNow, actions);
  } else if (const auto* changed = std::get_if<objects_changed>(&aEvent)) {
    for (const platform::object_change& change : changed->changes) {
      OnChange(change, aNow, actions);
    }
  } else if (const auto* instances = std::get_if<instances_listed>(&aEvent)) {
    ApplyInstances(*instances);
  }
  const bool holds = mLease.IsHeld(aNow);
  if (holds != mLeaseHeldAtLastEvent) {
    mLeaseHeldAtLastEvent = holds;
    actions.emplace_back(log_decision{ holds ? kLeaseGained : kLeaseLost, {}, {}, {}, {} });
  }
  if (mDocumentsLoaded && mTablesLoaded && mInstancesLoaded && mPlanLoaded) {
    RunOwners(aEvent, aNow, actions);
    RunPlanner(aEvent, aNow, actions);
  }
  return actions;
}

void
placer_core::OnList(const objects_listed& aEvent, time_point aNow, placement_actions& aActions)
{
  if (!aEvent.list) {
    return;
  }
  for (const platform::stored_object& object : aEvent.list->objects) {
    OnChange({ object.key, object.version, false, object.value }, aNow, aActions);
  }
  mDocumentsLoaded = mDocumentsLoaded || aEvent.kind == kServiceKind;
  mTablesLoaded = mTablesLoaded || aEvent.kind == kDomainKind;
  mPlanLoaded = mPlanLoaded || aEvent.kind == kPlanKind;
}

void
placer_core::OnChange(const platform::object_change& aChange,
                      time_point aNow,
                      placement_actions& aActions)
{
  if (aChange.key.kind == kServiceKind) {
    ApplyDocument(aChange, aActions);
  } else if (aChange.key.kind == kDomainKind) {
    ApplyTable(aChange, aNow, aActions);
  } else if (aChange.key.kind == kPlanKind && !aChange.deleted) {
    std::string problem;
    mPlanner.SetPlan(aChange.version, ParsePlan(aChange.value, problem));
  }
}

void
placer_core::ApplyDocument(const platform::object_change& aChange, placement_actions& aActions)
{
  const service_name service{ aChange.key.name };
  versioned_document& known = mDocuments[service];
  if (known.version >= aChange.version) {
    return;
  }
  if (aChange.deleted) {
    known.version = aChange.version;
    known.document.service = service;
    known.document.retired = true;
    mPlanner.MarkDirty();
    return;
  }
  document_reason why;
  auto document = ParseServiceDocument(aChange.value, why);
  if (!document) {
    aActions.emplace_back(log_decision{ kDocumentRefused, {}, {}, service.value, why.detail });
    if (known.version == revision{}) {
      mDocuments.erase(service);
    }
    return;
  }
  known = { aChange.version, std::move(*document) };
  mPlanner.MarkDirty();
}

void
placer_core::ApplyTable(const platform::object_change& aChange,
                        time_point aNow,
                        placement_actions& aActions)
{
  if (aChange.deleted) {
    return;
  }
  const domain_id domain{ aChange.key.name };
  table_reason why;
  auto table = ParseDomainTable(aChange.value, why);
  if (!table) {
    aActions.emplace_back(log_decision{ kTableRefused, domain.value, {}, {}, why.detail });
    return;
  }
  Owner(domain).SetTable(aChange.version, std::move(table), aNow);
}

void
placer_core::ApplyInstances(const instances_listed& aEvent)
{
  const bool changed = mInstances != aEvent.instances;
  mInstancesLoaded = true;
  if (!changed) {
    return;
  }
  mInstances = aEvent.instances;
  for (const platform::listed_instance& instance : mInstances) {
    const bool placeable =
      !instance.isInternal && instance.service.Empty() && !instance.domain.Empty();
    if (placeable) {
      Owner(instance.domain);
    }
  }
  DistributeInstances();
  mPlanner.MarkDirty();
}

void
placer_core::DistributeInstances()
{
  mDomainsOfInstance.clear();
  std::map<instance_id, domain_id> held;
  for (const auto& [domain, owner] : mDomains) {
    for (const group& entry : owner.Table().groups) {
      for (const group_member& member : entry.members) {
        held[member.instance] = domain;
        mDomainsOfInstance[member.instance].insert(domain);
      }
    }
  }
  std::map<domain_id, std::set<instance_id>> foreign;
  std::map<domain_id, std::vector<platform::listed_instance>> listed;
  for (const platform::listed_instance& instance : mInstances) {
    if (instance.domain.Empty()) {
      continue;
    }
    listed[instance.domain].push_back(instance);
    mDomainsOfInstance[instance.id].insert(instance.domain);
    const auto holder = held.find(instance.id);
    if (holder != held.end() && holder->second != instance.domain) {
      foreign[instance.domain].insert(instance.id);
    }
  }
  for (auto& [domain, owner] : mDomains) {
    owner.SetInstances(listed[domain], std::move(foreign[domain]));
  }
}

void
placer_core::CollectChangedTables()
{
  bool changed = false;
  for (const auto& [domain, owner] : mDomains) {
    revision& seen = mTableVersions[domain];
    if (seen != owner.Version()) {
      seen = owner.Version();
      mTables[domain] = owner.Table();
      changed = true;
    }
  }
  if (changed) {
    DistributeInstances();
    mPlanner.MarkDirty();
  }
}

void
placer_core::RefreshOwnership(time_point aNow)
{
  std::vector<placer_id> live = mLease.LivePlacers(aNow);
  const bool holds = mLease.IsHeld(aNow);
  if (live == mLivePlacers && holds == mLeaseHeldAtRefresh &&
      mOwnedByDomain.size() == mDomains.size()) {
    return;
  }
  mLivePlacers = std::move(live);
  mLeaseHeldAtRefresh = holds;
  mOwnedCount = 0;
  for (const auto& [domain, owner] : mDomains) {
    const bool owned = holds && RendezvousOwner(domain.value, mLivePlacers) == mOptions.self;
    mOwnedByDomain[domain] = owned;
    mOwnedCount += owned ? 1 : 0;
  }
}

void
placer_core::RunOwner(const domain_id& aDomain,
                      const placement_event& aEvent,
                      time_point aNow,
                      placement_actions& aActions)
{
  const owner_context view{
    mOwnedByDomain[aDomain], mLease.OrderDeadline(), mLease.Epoch(), mLease.Length(), mDocuments,
    mPlanner.Plan()
  };
  placement_actions actions = Owner(aDomain).Handle(aEvent, view, aNow);
  std::move(actions.begin(), actions.end(), std::back_inserter(aActions));
}

void
placer_core::RunOwners(const placement_event& aEvent, time_point aNow, placement_actions& aActions)
{
  CollectChangedTables();
  RefreshOwnership(aNow);
  const instance_id* instance = nullptr;
  if (const auto* read = std::get_if<member_read>(&aEvent)) {
    instance = &read->instance;
  } else if (const auto* order = std::get_if<order_done>(&aEvent)) {
    instance = &order->instance;
  }
  if (instance != nullptr) {
    for (const domain_id& domain : mDomainsOfInstance[*instance]) {
      RunOwner(domain, aEvent, aNow, aActions);
    }
    return;
  }
  for (const auto& [domain, owned] : mOwnedByDomain) {
    RunOwner(domain, aEvent, aNow, aActions);
  }
  CollectChangedTables();
}

void
placer_core::RunPlanner(const placement_event& aEvent, time_point aNow, placement_actions& aActions)
{
  const bool elected =
    mLease.IsHeld(aNow) && RendezvousOwner(kPlannerSubject, mLivePlacers) == mOptions.self;
  const planner_context view{ elected, { mDocuments, mTables, mInstances, nullptr } };
  const placement_actions actions = mPlanner.Handle(aEvent, view, aNow);
  aActions.insert(aActions.end(), actions.begin(), actions.end());
}

} // namespace persimmon::placement
