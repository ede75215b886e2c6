#pragma once

#include "base/ids.h"
#include "document/modelspec.h"

#include <vector>

namespace persimmon::routing {

/// Address and identity of an upstream: one generation of a group, or one incarnation of an
/// instance of a plain service.
struct upstream
{
  upstream_id id;
  service_name service;
  /// Address of the group's head, its first member, or of the instance.
  endpoint address;
  zone_name zone;
  /// Id, generation and model of the group; empty for instances of plain services.
  group_id group;
  persimmon::generation generation;
  model_spec model;
  /// Incarnation of the head or of the instance.
  incarnation incarnationId;
  std::vector<instance_id> members;

  bool operator==(const upstream&) const = default;
};

} // namespace persimmon::routing
