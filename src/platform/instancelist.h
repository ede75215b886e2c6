#pragma once

#include "base/ids.h"
#include "base/json.h"

#include <optional>
#include <string_view>
#include <vector>

namespace persimmon::platform {

/// An instance in the platform's instance list, which lags behind the actual state.
struct listed_instance
{
  instance_id id;
  endpoint address;
  zone_name zone;
  domain_id domain;
  persimmon::incarnation incarnation;
  /// The platform is about to remove the instance.
  bool leaving = false;
  /// The engine rejects orders whose fencing token is older than one it has seen.
  bool checksFencingTokens = true;
  /// Name of the plain service that the instance runs; empty for model engines and for instances of
  /// this system.
  service_name service;
  /// The instance runs a process of this system, such as a router.
  bool isInternal = false;

  bool operator==(const listed_instance&) const = default;
};

/// Parses the body of `GET /instances`. Returns nothing, with aProblem set, when a required member
/// is missing or a member is invalid.
std::optional<std::vector<listed_instance>>
ParseInstanceList(std::string_view aText, json_problem& aProblem);

/// Renders the body of `GET /instances`.
std::string
RenderInstanceList(const std::vector<listed_instance>& aInstances);

} // namespace persimmon::platform
