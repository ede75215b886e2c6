#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::routing {

/// Requests that an upstream reports to have.
struct load_report
{
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /// When the counts were taken, by this router's clock.
  time_point at{ INT64_MIN };

  bool operator==(const load_report&) const = default;
};

} // namespace persimmon::routing
