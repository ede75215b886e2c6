#pragma once

#include "fleet/instance.h"

#include <vector>

namespace persimmon::fleet {

/// A group of engine instances, assembled from the memberships that its members report.
struct engine_group
{
  group_id id;
  generation epoch;
  service_name service;
  /// Model of the head; empty when the head is unknown.
  routes::model_name model;
  /// Known members in order of rank, so the head comes first when it is known.
  std::vector<instance_id> members;
  member_phase headPhase = member_phase::joining;
  /// True when each rank up to the model's group size is held by exactly one known instance.
  bool complete = false;
  /// True when at least one member is draining.
  bool draining = false;

  /// Returns true when the group can take requests according to the reports of its members.
  [[nodiscard]] bool IsServing() const
  {
    return complete && !draining && headPhase == member_phase::open;
  }
  /// Returns the member with the lowest known rank, which is the head of a complete group.
  [[nodiscard]] const instance_id& Head() const { return members.front(); }
};

} // namespace persimmon::fleet
