#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon {

/// Admission and retry limits of a service.
struct limits_spec
{
  /// Maximum number of concurrent requests at one replica (or plain upstream).
  std::int64_t concurrencyPerUpstream = 64;
  /// Maximum number of requests that wait at one router.
  std::int64_t maxQueued = 256;
  /// Retries allowed per hundred first attempts.
  std::int64_t retryPercent = 10;
  /// Deadline of a request without its own, relative to its arrival.
  duration defaultDeadline{ 60000 };

  bool operator==(const limits_spec&) const = default;
};

} // namespace persimmon
