#pragma once

#include "base/clock.h"

#include <string>
#include <vector>

namespace persimmon::check {

/// Bounds that the promises leave open.
struct check_options
{
  /// How long a group may go on starting requests after it has lost a member, until every router
  /// has noticed.
  duration memberLoss{ 2500 };
  /// How long a leaving upstream may still get new work.
  duration leaving{ 5000 };
  /// How long an accepted document may take to be in force.
  duration inForce{ 3000 };
  /// Routers that must have every document in force from the start; those that wrote events are
  /// held to it from their first event on.
  std::vector<std::string> routers;
};

} // namespace persimmon::check
