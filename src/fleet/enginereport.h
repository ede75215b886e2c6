#pragma once

#include "base/ids.h"
#include "fleet/groupmembership.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::fleet {

/// What an engine instance answers when it is asked for its state.
struct engine_report
{
  incarnation incarnationId;
  routes::model_name model;
  std::vector<routes::model_name> stagedModels;
  std::optional<group_membership> membership;
  /// An order is being carried out.
  bool busy = false;
  std::uint64_t acceptedOrders = 0;
  std::uint64_t queued = 0;
  std::uint64_t running = 0;
  /// Above 1 the instance is slow.
  double slowdown = 1;
};

} // namespace persimmon::fleet
