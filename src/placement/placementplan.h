#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::placement {

/// How many groups of a service a domain should have.
struct service_share
{
  service_name service;
  domain_name domain;
  std::uint64_t groups = 0;

  bool operator==(const service_share&) const = default;
};

/// A service that gets fewer groups than its document asks for, and why.
struct unmet_service
{
  service_name service;
  std::uint64_t wanted = 0;
  std::uint64_t placed = 0;
  std::string why;

  bool operator==(const unmet_service&) const = default;
};

/// What the planner asks of the owners of all domains; one object, changed by conditional update.
struct placement_plan
{
  placer_id planner;
  std::vector<service_share> shares;
  /// Serving groups that may be stopped now. No other serving group is stopped by plan.
  std::vector<group_id> stops;
  /// Groups that may fetch weights now.
  std::vector<group_id> loads;
  /// Groups that are being moved to another domain.
  std::vector<group_id> moves;
  std::vector<unmet_service> unmet;

  bool operator==(const placement_plan&) const = default;
};

std::string
RenderPlan(const placement_plan& aPlan);

/// Parses a plan; aProblem tells what is wrong with it.
std::optional<placement_plan>
ParsePlan(std::string_view aText, std::string& aProblem);

/// Returns the groups of a service that a domain should have.
std::uint64_t
ShareOf(const placement_plan& aPlan, const service_name& aService, const domain_name& aDomain);

/// Returns whether a list of groups names one.
bool
Names(const std::vector<group_id>& aGroups, const group_id& aGroup);

} // namespace persimmon::placement
