#pragma once

#include "base/ids.h"
#include "document/modelspec.h"

#include <vector>

namespace persimmon::routing {

/// What a request is sent to: a group, by its id, or an instance of a plain service.
using upstream_id = text_id<struct upstream_id_tag>;

/// Address and identity of an upstream, for one generation of a group or life of an instance.
struct upstream
{
  upstream_id id;
  service_name service;
  /// Address of the group's head or of the instance.
  endpoint address;
  zone_name zone;
  /// The group, its generation and its model; empty for instances of plain services.
  group_id group;
  generation version;
  model_spec model;
  /// Life of the head or of the instance.
  incarnation life;
  std::vector<instance_id> members;

  bool operator==(const upstream&) const = default;
};

} // namespace persimmon::routing
