#pragma once

#include "base/ids.h"
#include "fleet/groupmembership.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::fleet {

/// The answer of an engine instance to a state query.
struct engine_report
{
  incarnation incarnationId;
  /// Model that the instance has loaded; empty when it has none.
  routes::model_name model;
  /// Models whose weights are on the instance's host, newest last.
  std::vector<routes::model_name> stagedModels;
  /// Empty when the instance is in no group.
  std::optional<group_membership> membership;
  /// True while the instance executes an order.
  bool busy = false;
  /// Number of orders that the instance has accepted in this incarnation.
  std::uint64_t acceptedOrders = 0;
  /// Requests that wait in the instance's queue.
  std::uint64_t queued = 0;
  /// Requests that are being processed.
  std::uint64_t running = 0;
  /// Factor on all processing times; above 1 the instance is slower than its profile.
  double slowdown = 1;
};

} // namespace persimmon::fleet
