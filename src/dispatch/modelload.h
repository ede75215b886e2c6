#pragma once

#include "base/clock.h"

#include <cstddef>

namespace persimmon::dispatch {

/// Calls that run or wait at all groups of a model, and the slots of the groups, as of a time.
struct model_load
{
  double calls = 0;
  double slots = 0;
  time_point asOf{ INT64_MIN / 2 };
};

/// Time for which the news of a model's load is used.
constexpr duration kModelLoadLifetime{ 1500 };

} // namespace persimmon::dispatch
