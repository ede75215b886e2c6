#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon {

/// Bounds of a service's admission and retries.
struct limits_spec
{
  /// Requests that one replica (or plain upstream) runs at once.
  std::int64_t concurrencyPerUpstream = 64;
  /// Requests that one router lets wait.
  std::int64_t maxQueued = 256;
  /// Retries allowed for each hundred first attempts.
  std::int64_t retryPercent = 10;
  /// Time a request has when its caller names none.
  duration defaultDeadline{ 60000 };

  bool operator==(const limits_spec&) const = default;
};

} // namespace persimmon
