#pragma once

#include <cstdint>

namespace persimmon::bench {

/// Measures the cost of a routing decision at 57 and 625 groups beside that of parsing one HTTP
/// request.
void
RunDecisionCost(std::uint64_t aSeed);

} // namespace persimmon::bench
