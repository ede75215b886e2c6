#pragma once

#include "base/clock.h"
#include "base/requestrate.h"
#include "dispatch/upstreamload.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::dispatch {

/// What an upstream states of itself in the head of a response, whatever the response's status.
struct upstream_statements
{
  /// Load that it reports; nothing when it reports none.
  std::optional<upstream_load> load;
  /// Limit that it states for all routers together; nothing when it states none.
  std::optional<request_rate> rateLimit;
  /// How long it says that it stays cold; nothing when it does not say so.
  std::optional<duration> warmup;
  /// True when it states a limit that cannot be read.
  bool hasUnreadableLimit = false;
  /// True when it says that it is leaving.
  bool isLeaving = false;
  /// Time for which it asks for no calls; nothing when it states none.
  std::optional<duration> pause;
  /// Header and value of statements that cannot be read; they have no effect.
  std::vector<std::string> unreadable;
};

} // namespace persimmon::dispatch
