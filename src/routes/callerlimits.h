#pragma once

#include "base/clock.h"

#include <cstddef>

namespace persimmon::routes {

/// Limits on the size of a caller's request and on the time that it may take.
struct caller_limits
{
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 4U << 20U;
  duration headerTimeout{ 3000 };
  duration idleTimeout{ 15000 };
};

} // namespace persimmon::routes
