#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::dispatch {

/// Load that an upstream reports about itself, in requests.
struct upstream_load
{
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  /// Requests that it can run concurrently; 0 when not reported.
  std::uint64_t slots = 0;
};

} // namespace persimmon::dispatch
