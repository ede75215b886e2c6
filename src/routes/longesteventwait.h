#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/configuration.h"

namespace persimmon::routes {

/// Returns the longest time for which a caller of a stream of a service waits for its next event,
/// the first one included, before it leaves; zero when no route sends streams to the service.
duration
LongestEventWait(const configuration& aConfiguration, const service_name& aService);

} // namespace persimmon::routes
