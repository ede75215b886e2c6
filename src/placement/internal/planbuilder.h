#pragma once

#include "placement/planner.h"

#include <algorithm>
#include <tuple>

namespace persimmon::placement {

/// What one domain can still take. Counts are instances.
struct domain_room
{
  domain_name name;
  zone_name zone;
  /// Instances that groups may be given.
  std::int64_t usable = 0;
  /// Usable instances that stand in a group now.
  std::int64_t occupied = 0;
  /// Instances that the plan has given to groups.
  std::int64_t planned = 0;
  /// Instances that the plan gives to groups that do not exist yet.
  std::int64_t added = 0;

  /// Room once everything that stops has stopped.
  [[nodiscard]] std::int64_t Later() const { return usable - planned; }
  /// Room now.
  [[nodiscard]] std::int64_t Now() const { return std::min(usable - occupied - added, Later()); }
};

/// A group as the planner sees it.
struct planned_group
{
  const group* entry = nullptr;
  domain_room* room = nullptr;
  std::int64_t usableMembers = 0;
  /// The group has to be replaced by a new one: other model or size, a member that leaves, a move.
  bool outdated = false;
  /// A member is about to leave or slows the group down.
  bool ending = false;

  [[nodiscard]] bool IsServing() const { return entry->state == group_state::serving; }
};

/// The groups of one service, by what is to become of them.
struct planned_service
{
  const service_document* document = nullptr;
  std::vector<planned_group> kept;
  std::vector<planned_group> outdated;
  std::vector<planned_group> broken;
  std::int64_t draining = 0;
  /// Groups that the plan adds.
  std::int64_t added = 0;
  std::map<zone_name, std::int64_t> zones;
  /// The domain that a group of the service is moved out of; it takes no new one meanwhile.
  const domain_room* leaves = nullptr;

  [[nodiscard]] std::int64_t Size() const { return document->capacity.instancesPerReplica; }
  [[nodiscard]] std::int64_t Wanted() const { return document->capacity.replicas; }
  [[nodiscard]] std::int64_t Total() const
  {
    return static_cast<std::int64_t>(kept.size() + outdated.size()) + added;
  }
};

/// Builds one plan; used once.
class plan_builder
{
public:
  plan_builder(const planner_input& aInput, const planner_options& aOptions);

  placement_plan Build();

private:
  void MeasureDomains();
  void SortGroups();
  void SortGroup(const group& aGroup, domain_room& aRoom);
  void KeepBroken();
  void StopExcess(planned_service& aService);
  void PlaceMissing(bool aMinimumOnly);
  void Replace(planned_service& aService);
  void ReplaceBySurge(planned_service& aService, std::int64_t aMost);
  void StopOutdated(planned_service& aService, std::int64_t aMost);
  void MoveForUnmet();
  void GrantLoads();
  void ReportUnmet();
  void AddShares();

  void Stop(planned_service& aService, planned_group& aGroup);
  bool Place(planned_service& aService, bool aNowOnly);
  /// Finds a domain that the plan in force gives a group which does not exist yet. Without it, a
  /// plan made between two tables' changes would place the same group twice.
  domain_room* PromisedRoom(const planned_service& aService, bool aNow);
  [[nodiscard]] std::uint64_t CountPlanned(const planned_service& aService,
                                           const domain_room& aRoom) const;
  domain_room* BestRoom(const planned_service& aService, bool aNow);
  void Give(planned_service& aService, domain_room& aRoom);
  [[nodiscard]] std::int64_t CountServing(const planned_service& aService) const;
  [[nodiscard]] std::int64_t CountForming(const planned_service& aService) const;
  [[nodiscard]] std::int64_t MostAtOnce(const planned_service& aService) const;
  [[nodiscard]] std::string WhyUnmet(const planned_service& aService) const;

  const planner_input& mInput;
  const planner_options& mOptions;
  std::map<domain_name, domain_room> mRooms;
  /// Instances that groups may be given.
  std::set<instance_id> mUsable;
  std::vector<planned_service> mServices;
  std::map<service_name, std::size_t> mIndex;
  std::map<std::pair<service_name, domain_name>, std::uint64_t> mShares;
  placement_plan mPlan;
};

} // namespace persimmon::placement
