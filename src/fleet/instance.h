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
  /// Start of this life; an instance may come back under its id and hold nothing of before.
  incarnation incarnationId;
  /// Requests that it runs at once.
  std::size_t slots = 1;
  /// It is about to go and must get no new work.
  bool draining = false;
  /// How much longer it is slow after its start.
  duration warmupRemaining;
  /// Fabric domain; empty for plain services.
  domain_name domain;
  /// Models whose weights lie on its host, newest last.
  std::vector<routes::model_name> stagedModels;
  /// Model that it holds now; empty when it holds none.
  routes::model_name model;
  std::optional<group_membership> membership;
  /// Orders that it has accepted in this life.
  std::uint64_t acceptedOrders = 0;

  bool operator==(const instance&) const = default;
};

} // namespace persimmon::fleet
