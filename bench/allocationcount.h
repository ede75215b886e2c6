#pragma once

#include <cstdint>

namespace persimmon::bench {

/// Returns how often the process has allocated memory so far.
std::uint64_t
CountAllocations();

} // namespace persimmon::bench
