#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>

namespace persimmon::routing {

/// Urgency of RFC 9218: 0 is the most urgent.
constexpr std::uint8_t kLowestPriority = 7;
constexpr std::uint8_t kDefaultPriority = 3;

/// A request that asks to be dispatched.
struct admission_request
{
  request_id request;
  customer_name customer;
  std::uint8_t priority = kDefaultPriority;
  time_point deadline{ INT64_MAX };
};

} // namespace persimmon::routing
