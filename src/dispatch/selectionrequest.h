#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// Criteria for the selection of an upstream for one call.
struct selection_request
{
  service_name service;
  /// Empty for services without an engine.
  routes::model_name model;
  std::uint64_t promptTokens = 0;
  /// Upstreams that are not selected.
  std::vector<instance_id> excluded;
  /// The only upstreams that may be selected; empty for all.
  std::vector<instance_id> onlyAmong;
  /// Longest time that the call may wait for a free slot at its upstream; empty for no limit.
  std::optional<duration> maxQueueWait;
  /// Uniformly distributed random number for the choice among upstreams of similar cost.
  std::uint64_t random = 0;
  /// The call crashed upstreams before, so it may only go to an upstream that runs nothing else.
  bool idleUpstreamOnly = false;
};

} // namespace persimmon::dispatch
