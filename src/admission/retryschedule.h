#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::admission {

/// Returns when a caller that was refused for want of room should come back. aLeft is the time
/// until its deadline, of which callers wait up to a third; aRandom is uniformly distributed. The
/// callers of a burst come back spread over the later half of that time, when the room of those who
/// were taken is free again.
duration
RetryAfterOverload(duration aLeft, std::uint64_t aRandom);

} // namespace persimmon::admission
