#pragma once

#include "metrics/metrics.h"

#include <array>

namespace persimmon::router {

constexpr metric_spec kRequestsTotal{ "persimmon_router_requests_total",
                                      "Requests that ended, by service, customer and outcome." };
constexpr metric_spec kRequestSeconds{ "persimmon_router_request_seconds",
                                       "Time from a request to its end, by service." };
constexpr metric_spec kFirstByteSeconds{ "persimmon_router_first_byte_seconds",
                                         "Time from a request to its first byte, by service." };
constexpr metric_spec kRequestsInFlight{ "persimmon_router_requests_in_flight",
                                         "Requests that have not ended." };
constexpr metric_spec kAttemptsTotal{ "persimmon_router_attempts_total",
                                      "Attempts that ended, by service and outcome." };

/// All metrics of the router's shells.
inline constexpr std::array kRouterMetrics{ kRequestsTotal,
                                            kRequestSeconds,
                                            kFirstByteSeconds,
                                            kRequestsInFlight,
                                            kAttemptsTotal };

} // namespace persimmon::router
