#pragma once

#include "base/ids.h"
#include "base/json.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::ctl {

/// Status that a router reports at /status.
struct router_status
{
  router_id router;
  zone_name zone;
  bool ready = false;
  /// Newest version of each document that the router applies.
  std::map<service_name, revision> documents;
};

/// Parses the body of a router's /status response. Unknown members are ignored. Returns nothing and
/// sets aProblem when the body is invalid.
std::optional<router_status>
ParseRouterStatus(std::string_view aText, json_problem& aProblem);

/// Rollout progress of a document version across the routers.
struct in_force
{
  std::size_t applied = 0;
  std::size_t total = 0;
  /// Addresses of the routers that do not apply the version or a later one; ` (no answer)` is
  /// appended for a router without an answer.
  std::vector<std::string> laggards;
};

/// Address of a queried router and its status; empty when it did not answer.
struct asked_router
{
  std::string address;
  std::optional<router_status> status;
};

/// Counts the routers that apply aVersion of a document or a later version.
in_force
CountInForce(const std::vector<asked_router>& aRouters,
             const service_name& aService,
             revision aVersion);

/// Returns a line such as `in force on 8 of 9; lagging: 127.0.0.1:8003`.
std::string
RenderInForce(const in_force& aCount);

} // namespace persimmon::ctl
