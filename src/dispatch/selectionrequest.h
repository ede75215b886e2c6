#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// How a call stands among others where slots are scarce.
struct slot_claim
{
  /// Position of the call's priority among those in use, 0 for the most urgent.
  std::size_t rank = 0;
  /// Number from 0 to 1 that is drawn once for the call.
  double draw = 0;
  /// The call can no longer be in time.
  bool isLate = false;
  /// Its caller has come back after a refusal.
  bool isReturning = false;
};

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
  /// Set for a call that goes only where it finds a slot, as slot_policy says; empty for a call
  /// that goes to any group.
  std::optional<slot_claim> claim;
};

} // namespace persimmon::dispatch
