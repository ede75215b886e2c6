#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// What is asked of a choice among upstreams.
struct selection_request
{
  service_name service;
  /// Empty for plain services.
  routes::model_name model;
  std::uint64_t promptTokens = 0;
  /// Upstreams that have failed this call already.
  std::vector<instance_id> excluded;
  /// Longest time that the call may wait for a place at its upstream; nothing for any time.
  std::optional<duration> maxQueueWait;
  /// Breaks ties; uniformly distributed.
  std::uint64_t random = 0;
  /// The call crashed upstreams before; only one that runs nothing else may take it.
  bool idleUpstreamOnly = false;
};

} // namespace persimmon::dispatch
