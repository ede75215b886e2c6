#pragma once

#include "base/log.h"

#include <array>

namespace persimmon {

constexpr log_event kLogLinesDropped{ 1001, "log_lines_dropped", log_level::warning };

/// All log events of the base module.
inline constexpr std::array kBaseEvents{ kLogLinesDropped };

} // namespace persimmon
