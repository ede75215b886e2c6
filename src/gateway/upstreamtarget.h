#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/callaction.h"

#include <cstdint>
#include <optional>

namespace persimmon::gateway {

/// Destination of a call and the values that the gateway adds to the caller's headers.
struct upstream_target
{
  instance_id instance;
  endpoint address;
  /// Empty when the route needs no customer.
  customer_name customer;
  /// Time left until the call's deadline.
  duration remainingTime;
  /// Id of the event after which the stream resumes; nothing for a stream from its start.
  std::optional<std::uint64_t> resumeAfter;
  dispatch::queue_priority priority = dispatch::queue_priority::normal;
};

} // namespace persimmon::gateway
