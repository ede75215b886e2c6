#pragma once

#include "base/ids.h"
#include "base/json.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::ctl {

/// What one router says of itself at /status.
struct router_status
{
  router_id router;
  zone_name zone;
  bool ready = false;
  /// Newest version of each document that the router applies.
  std::map<service_name, revision> documents;
};

/// Parses the body of a router's /status; members that are not known are ignored.
std::optional<router_status>
ParseRouterStatus(std::string_view aText, json_problem& aProblem);

/// How far one version of a document has come.
struct in_force
{
  std::size_t applied = 0;
  std::size_t total = 0;
  /// Addresses or ids of the routers that do not apply the version or a later one.
  std::vector<std::string> laggards;
};

/// One router that was asked: its address and its answer, if there was one.
struct asked_router
{
  std::string address;
  std::optional<router_status> status;
};

/// Counts the routers that apply at least a version of a document.
in_force
CountInForce(const std::vector<asked_router>& aRouters,
             const service_name& aService,
             revision aVersion);

/// Returns a line such as `in force on 8 of 9; lagging: 127.0.0.1:8003`.
std::string
RenderInForce(const in_force& aCount);

} // namespace persimmon::ctl
