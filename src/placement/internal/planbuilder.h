#pragma once

#include "placement/planner.h"

#include <algorithm>
#include <tuple>

namespace persimmon::placement {

/// Capacity of one domain. Counts are instances.
struct domain_capacity
{
  domain_id name;
  zone_name zone;
  /// Instances that can be assigned to groups.
  std::int64_t usable = 0;
  /// Usable instances that are in a group now.
  std::int64_t occupied = 0;
  /// Instances that the plan assigns to groups.
  std::int64_t planned = 0;
  /// Instances that the plan assigns in addition to those that are occupied.
  std::int64_t added = 0;

  /// Returns the free instances once all stopping groups have stopped; negative when the plan keeps
  /// more than is usable.
  [[nodiscard]] std::int64_t FreeAfterStops() const { return usable - planned; }
  /// Returns the instances that are free now.
  [[nodiscard]] std::int64_t FreeNow() const
  {
    return std::min(usable - occupied - added, FreeAfterStops());
  }
};

/// Planning state of a group.
struct planned_group
{
  const group* entry = nullptr;
  domain_capacity* domain = nullptr;
  std::int64_t usableMembers = 0;
  /// The group must be replaced: its model or size differs from the document, a member is unusable,
  /// or it moves to another domain.
  bool outdated = false;
  /// The group serves and a member is about to leave, lost or excluded as a straggler.
  bool hasUnusableMember = false;

  [[nodiscard]] bool IsServing() const { return entry->state == group_state::serving; }
};

/// The groups of one service, classified by what the plan does with them.
struct planned_service
{
  const service_document* document = nullptr;
  std::vector<planned_group> kept;
  std::vector<planned_group> outdated;
  std::vector<planned_group> incomplete;
  /// Number of draining groups.
  std::int64_t draining = 0;
  /// Number of groups that the plan adds.
  std::int64_t added = 0;
  std::map<zone_name, std::int64_t> groupsPerZone;
  /// Domain that a group of the service moves out of; no new group of the service is placed there.
  /// Null without a move.
  const domain_capacity* excludedDomain = nullptr;

  [[nodiscard]] std::int64_t GroupSize() const { return document->capacity.instancesPerReplica; }
  [[nodiscard]] std::int64_t Wanted() const { return document->capacity.replicas; }
  [[nodiscard]] std::int64_t Total() const
  {
    return static_cast<std::int64_t>(kept.size() + outdated.size()) + added;
  }
};

/// Builds a plan; Build may be called once.
class plan_builder
{
public:
  plan_builder(const planner_input& aInput, const planner_options& aOptions);

  placement_plan Build();

private:
  void ComputeDomainCapacity();
  void ClassifyGroups();
  void ClassifyGroup(const group& aGroup, domain_capacity& aDomain);
  void KeepIncomplete();
  void StopExcess(planned_service& aService);
  void PlaceMissing(bool aMinimumOnly);
  void ReplaceOutdated(planned_service& aService);
  void ReplaceBySurge(planned_service& aService, std::int64_t aMaxConcurrent);
  void StopOutdated(planned_service& aService, std::int64_t aMaxConcurrent);
  void MoveForUnmet();
  void GrantLoads();
  void ReportUnmet();
  void AddShares();

  void Stop(planned_service& aService, planned_group& aGroup);
  bool PlaceGroup(planned_service& aService, bool aFreeNowOnly);
  /// Finds a domain where the previous plan placed a group that does not exist yet; null when there
  /// is none. Without this, a plan computed between the changes of two tables would place the same
  /// group twice.
  domain_capacity* PreviouslyPlannedDomain(const planned_service& aService, bool aFreeNow);
  [[nodiscard]] std::uint64_t CountPlannedGroups(const planned_service& aService,
                                                 const domain_capacity& aDomain) const;
  domain_capacity* BestDomain(const planned_service& aService, bool aFreeNow);
  void Assign(planned_service& aService, domain_capacity& aDomain);
  [[nodiscard]] std::int64_t CountServing(const planned_service& aService) const;
  [[nodiscard]] std::int64_t CountForming(const planned_service& aService) const;
  [[nodiscard]] std::int64_t MaxConcurrentReplacements(const planned_service& aService) const;
  [[nodiscard]] std::string UnmetReason(const planned_service& aService) const;

  const planner_input& mInput;
  const planner_options& mOptions;
  std::map<domain_id, domain_capacity> mDomains;
  /// Instances that can be assigned to groups.
  std::set<instance_id> mUsable;
  std::vector<planned_service> mServices;
  std::map<service_name, std::size_t> mIndex;
  std::map<std::pair<service_name, domain_id>, std::uint64_t> mShares;
  placement_plan mPlan;
};

} // namespace persimmon::placement
