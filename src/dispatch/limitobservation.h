#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/requestrate.h"

#include <optional>

namespace persimmon::dispatch {

/// What a response tells about the rate limit of its upstream.
struct limit_observation
{
  instance_id upstream;
  incarnation incarnationId;
  /// The limit that the response states; empty when it states none.
  std::optional<request_rate> limit;
  /// True when a response without a limit proves that there is none: the upstream itself executed
  /// the call. Refusals may come from a part of it that states no limits.
  bool executed = false;
  /// Time at which the call was sent.
  time_point sentAt;
};

} // namespace persimmon::dispatch
