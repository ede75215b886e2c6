#pragma once

#include "base/ids.h"
#include "base/json.h"

#include <optional>
#include <string_view>
#include <vector>

namespace persimmon::platform {

/// One instance as the platform's lagging list shows it.
struct listed_instance
{
  instance_id id;
  endpoint address;
  zone_name zone;
  domain_name domain;
  persimmon::incarnation incarnation;
  /// The platform is about to take the instance away.
  bool leaving = false;
  /// The engine refuses orders with an old fencing token.
  bool checksFencingTokens = true;
  /// Name of the plain service that the instance runs; empty for model engines and entries.
  service_name service;
  /// True for the instances that run this system's own processes.
  bool isInternal = false;

  bool operator==(const listed_instance&) const = default;
};

/// Parses the body of `GET /instances`.
std::optional<std::vector<listed_instance>>
ParseInstanceList(std::string_view aText, json_problem& aProblem);

/// Returns the body of `GET /instances`.
std::string
RenderInstanceList(const std::vector<listed_instance>& aInstances);

} // namespace persimmon::platform
