#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/planstep.h"

#include <cstdint>
#include <optional>

namespace persimmon::gateway {

/// Where a call goes and what is told on top of the caller's own headers.
struct upstream_target
{
  instance_id instance;
  endpoint address;
  customer_name customer;
  duration remainingTime;
  std::optional<std::uint64_t> resumeAfter;
  dispatch::urgency priority = dispatch::urgency::normal;
};

} // namespace persimmon::gateway
