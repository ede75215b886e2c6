#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/callkind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::routes {

/// One of the services that share a route's calls.
struct weighted_service
{
  service_name service;
  std::uint32_t weight = 1;
};

/// Calls of one host below one path pathPrefix.
struct route
{
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  call_kind kind = call_kind::non_idempotent;
  /// Longest time that a call may be kept waiting.
  duration timeout;
  /// Time within which an answer (for a stream: its first event) earns its full worth.
  duration latencyTarget;
  /// Longest pause between events of a stream that is still on time.
  duration eventGapTarget;
  /// Rank; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Not empty.
  std::vector<weighted_service> services;
  /// Upstreams that one call may be sent to.
  std::uint32_t maxAttempts = 1;
  /// Needs no customer's key.
  bool isPublic = false;
  /// A stream may go on at another upstream after its last event.
  bool resumable = false;

  /// True when running the call twice does no harm.
  [[nodiscard]] bool IsRetryable() const
  {
    return kind == call_kind::idempotent || (kind == call_kind::streaming && resumable);
  }
};

} // namespace persimmon::routes
