#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/callkind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::routes {

/// A service and its weight in the split of a route's calls.
struct weighted_service
{
  service_name service;
  std::uint32_t weight = 1;
};

/// Rules for the calls to one host and path prefix.
struct route
{
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string pathPrefix;
  call_kind kind = call_kind::non_idempotent;
  /// Longest time from the arrival of a call to its response; 0 when not set.
  duration timeout;
  /// Time within which the response (for a stream: its first event) has its full value.
  duration latencyTarget;
  /// Longest gap between two events of a stream that still counts as on time.
  duration eventGapTarget;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Services that share the calls; not empty.
  std::vector<weighted_service> services;
  /// Most upstreams that one call may be sent to.
  std::uint32_t maxAttempts = 1;
  /// Calls need no API key.
  bool isPublic = false;
  /// A stream may be resumed at another upstream after its last event.
  bool resumable = false;

  /// True when a call may safely be executed more than once.
  [[nodiscard]] bool IsRetryable() const
  {
    return kind == call_kind::idempotent || (kind == call_kind::streaming && resumable);
  }
};

} // namespace persimmon::routes
