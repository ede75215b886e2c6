#pragma once

#include "app/router/clusterboard.h"
#include "app/router/suspectboard.h"
#include "base/clock.h"
#include "metrics/metrics.h"

namespace persimmon::router {

/// Brings the gauges of services and suspects up to date; call about once a second.
void
SetServiceGauges(const cluster_board& aBoard,
                 const suspect_board& aSuspects,
                 metrics_registry& aMetrics,
                 time_point aNow);

} // namespace persimmon::router
