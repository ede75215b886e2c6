#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/groupmembership.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::fleet {

/// An upstream instance as it registered itself.
struct instance
{
  instance_id id;
  service_name service;
  endpoint address;
  zone_name zone;
  /// Changes when the instance restarts; a restarted instance keeps its id but no earlier state.
  incarnation incarnationId;
  /// Earliest time at which this incarnation may have begun, as far as the registry has shown; far
  /// ahead when that is not known.
  time_point mayHaveBegunAt{ INT64_MAX / 2 };
  /// Number of requests that the instance processes concurrently.
  std::size_t slots = 1;
  /// True when the instance is shutting down and must get no new requests.
  bool draining = false;
  /// Remaining time of slower operation after the start.
  duration warmupRemaining;
  /// Fabric domain; empty for services without engines.
  domain_id domain;
  /// Models whose weights are on the instance's host, newest last.
  std::vector<routes::model_name> stagedModels;
  /// Model that the instance has loaded; empty when it has none.
  routes::model_name model;
  /// Empty when the instance is in no group.
  std::optional<group_membership> membership;
  /// Number of orders that the instance has accepted in this incarnation.
  std::uint64_t acceptedOrders = 0;

  bool operator==(const instance&) const = default;
};

} // namespace persimmon::fleet
