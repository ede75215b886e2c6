#pragma once

#include "app/router/clusterboard.h"
#include "app/router/suspectboard.h"
#include "metrics/metrics.h"

namespace persimmon::router {

/// Sets the gauges of all services and of the suspects to what they are now.
void
PublishGauges(const cluster_board& aBoard,
              const suspect_board& aSuspects,
              metrics_registry& aMetrics,
              time_point aNow);

} // namespace persimmon::router
