#pragma once

#include "placement/domainowner.h"
#include "placement/leasekeeper.h"
#include "placement/planner.h"

#include <map>
#include <set>

namespace persimmon::placement {

struct placer_options
{
  placer_id self;
  duration lease{ 9000 };
  placement_weights weights;
  std::uint64_t loadSlots = 16;
  /// Longest time that an order can be in flight after it was sent.
  duration longestOrder{ 5000 };
  placement_policy policy;
};

/// Decision logic of one placer: its lease, the domains that it owns, and the plan while it is the
/// elected planner. Performs no I/O: takes events and returns actions. Every action except
/// log_decision is answered by an event. Times are of the boot clock.
class placer_core
{
public:
  placer_core(placer_options aOptions, std::uint64_t aSeed);

  placement_actions Handle(const placement_event& aEvent, time_point aNow);
  /// Releases the lease before the process exits.
  placement_actions Release();

  [[nodiscard]] bool HoldsLease(time_point aNow) const { return mLease.IsHeld(aNow); }
  [[nodiscard]] const std::map<domain_id, domain_owner>& Domains() const { return mDomains; }
  [[nodiscard]] const placement_plan* Plan() const { return mPlanner.Plan(); }
  [[nodiscard]] std::size_t OwnedDomains() const { return mOwnedCount; }

private:
  void OnList(const objects_listed& aEvent, time_point aNow, placement_actions& aActions);
  void OnChange(const platform::object_change& aChange,
                time_point aNow,
                placement_actions& aActions);
  void ApplyDocument(const platform::object_change& aChange, placement_actions& aActions);
  void ApplyTable(const platform::object_change& aChange,
                  time_point aNow,
                  placement_actions& aActions);
  void ApplyInstances(const instances_listed& aEvent);
  void DistributeInstances();
  void RunOwners(const placement_event& aEvent, time_point aNow, placement_actions& aActions);
  void RunOwner(const domain_id& aDomain,
                const placement_event& aEvent,
                time_point aNow,
                placement_actions& aActions);
  void RefreshOwnership(time_point aNow);
  void RunPlanner(const placement_event& aEvent, time_point aNow, placement_actions& aActions);
  void CollectChangedTables();
  domain_owner& Owner(const domain_id& aDomain);

  placer_options mOptions;
  random_source mRandom;
  lease_keeper mLease;
  planner mPlanner;
  std::map<domain_id, domain_owner> mDomains;
  /// Domains whose owners track an instance: where it is listed and whose table contains it.
  std::map<instance_id, std::set<domain_id>> mDomainsOfInstance;
  std::map<domain_id, bool> mOwnedByDomain;
  std::vector<placer_id> mLivePlacers;
  bool mLeaseHeldAtRefresh = false;
  service_catalogue mDocuments;
  table_map mTables;
  std::map<domain_id, revision> mTableVersions;
  std::vector<platform::listed_instance> mInstances;
  bool mDocumentsLoaded = false;
  bool mTablesLoaded = false;
  bool mInstancesLoaded = false;
  bool mPlanLoaded = false;
  bool mLeaseHeldAtLastEvent = false;
  std::size_t mOwnedCount = 0;
};

} // namespace persimmon::placement
