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
  /// Longest time for which an order that was sent can still be under way.
  duration longestOrder{ 5000 };
  placement_policy policy;
};

/// All decisions of one placer: its lease, the domains that fall to it, and the plan when it is
/// elected. Pure: events in, actions out; every action but a log line is answered by an event.
/// Times are of the boot clock.
class placer_core
{
public:
  placer_core(placer_options aOptions, std::uint64_t aSeed);

  placement_actions Handle(const placement_event& aEvent, time_point aNow);
  /// Gives the lease up before the process ends.
  placement_actions Release();

  [[nodiscard]] bool HoldsLease(time_point aNow) const { return mLease.Holds(aNow); }
  [[nodiscard]] const std::map<domain_name, domain_owner>& Domains() const { return mDomains; }
  [[nodiscard]] const placement_plan* Plan() const { return mPlanner.Plan(); }
  [[nodiscard]] std::size_t OwnedDomains() const { return mOwned; }

private:
  void OnList(const objects_listed& aEvent, time_point aNow, placement_actions& aActions);
  void OnChange(const platform::object_change& aChange,
                time_point aNow,
                placement_actions& aActions);
  void TakeDocument(const platform::object_change& aChange, placement_actions& aActions);
  void TakeTable(const platform::object_change& aChange,
                 time_point aNow,
                 placement_actions& aActions);
  void TakeInstances(const instances_listed& aEvent);
  void SpreadInstances();
  void RunOwners(const placement_event& aEvent, time_point aNow, placement_actions& aActions);
  void RunOwner(const domain_name& aDomain,
                const placement_event& aEvent,
                time_point aNow,
                placement_actions& aActions);
  void RefreshOwnership(time_point aNow);
  void RunPlanner(const placement_event& aEvent, time_point aNow, placement_actions& aActions);
  void FollowTables();
  domain_owner& Owner(const domain_name& aDomain);

  placer_options mOptions;
  random_source mRandom;
  lease_keeper mLease;
  planner mPlanner;
  std::map<domain_name, domain_owner> mDomains;
  /// The domains that follow an instance: where it is listed and where a table holds it.
  std::map<instance_id, std::set<domain_name>> mPlaces;
  std::map<domain_name, bool> mOwnership;
  std::vector<placer_id> mLive;
  bool mHeldBefore = false;
  service_catalogue mDocuments;
  table_map mTables;
  std::map<domain_name, revision> mTableVersions;
  std::vector<platform::listed_instance> mInstances;
  bool mDocumentsKnown = false;
  bool mTablesKnown = false;
  bool mInstancesKnown = false;
  bool mPlanKnown = false;
  bool mHeldLease = false;
  std::size_t mOwned = 0;
};

} // namespace persimmon::placement
