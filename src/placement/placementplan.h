#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::placement {

/// Planned number of groups of a service in a domain.
struct service_share
{
  service_name service;
  domain_id domain;
  std::uint64_t groups = 0;

  bool operator==(const service_share&) const = default;
};

/// A service with fewer planned groups than its document requests, and the reason.
struct unmet_service
{
  service_name service;
  std::uint64_t wanted = 0;
  std::uint64_t placed = 0;
  std::string why;

  bool operator==(const unmet_service&) const = default;
};

/// The planner's instructions to all domain owners; one object, replaced by conditional update.
struct placement_plan
{
  placer_id planner;
  std::vector<service_share> shares;
  /// Groups to stop now. A serving group that is not listed is not stopped by the plan.
  std::vector<group_id> stops;
  /// Groups that may load weights now.
  std::vector<group_id> loads;
  /// Groups that are being moved to another domain.
  std::vector<group_id> moves;
  std::vector<unmet_service> unmet;

  bool operator==(const placement_plan&) const = default;
};

std::string
RenderPlan(const placement_plan& aPlan);

/// Parses a plan; on failure returns nothing and describes the error in aProblem.
std::optional<placement_plan>
ParsePlan(std::string_view aText, std::string& aProblem);

/// Returns the planned number of groups of a service in a domain; zero without a share.
std::uint64_t
ShareOf(const placement_plan& aPlan, const service_name& aService, const domain_id& aDomain);

/// Returns whether aGroups contains aGroup.
bool
ContainsGroup(const std::vector<group_id>& aGroups, const group_id& aGroup);

} // namespace persimmon::placement
