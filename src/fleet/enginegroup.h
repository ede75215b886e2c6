#pragma once

#include "fleet/instance.h"

#include <vector>

namespace persimmon::fleet {

/// A group as its members report it.
struct engine_group
{
  group_id id;
  generation epoch;
  service_name service;
  routes::model_name model;
  /// By rank; the head first. Instances that are not known are left out.
  std::vector<instance_id> members;
  member_phase headPhase = member_phase::joining;
  /// Every rank up to the model's size is taken by one known instance.
  bool complete = false;
  /// A member is about to leave.
  bool draining = false;

  /// True when it may take requests, as far as the reports tell.
  [[nodiscard]] bool IsServing() const
  {
    return complete && !draining && headPhase == member_phase::open;
  }
  [[nodiscard]] const instance_id& Head() const { return members.front(); }
};

} // namespace persimmon::fleet
