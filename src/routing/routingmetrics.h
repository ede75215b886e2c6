#pragma once

#include "metrics/metrics.h"

#include <array>

namespace persimmon::routing {

constexpr metric_spec kChoicesTotal{ "persimmon_routing_choices_total",
                                     "Choices of an upstream, by service and reason." };
constexpr metric_spec kRetriesTotal{ "persimmon_routing_retries_total",
                                     "Decisions after a failed attempt, by service and verdict." };
constexpr metric_spec kAdmissionsTotal{
  "persimmon_routing_admissions_total",
  "Decisions on admission, by service, customer and verdict."
};
constexpr metric_spec kAdmissionWaitSeconds{ "persimmon_routing_admission_wait_seconds",
                                             "Wait of admitted requests, by service." };
constexpr metric_spec kRequestsRunning{ "persimmon_routing_requests_running",
                                        "Requests that run, by service." };
constexpr metric_spec kRequestsWaiting{ "persimmon_routing_requests_waiting",
                                        "Requests that wait for admission, by service." };
constexpr metric_spec kUpstreamsEligible{ "persimmon_routing_upstreams_eligible",
                                          "Upstreams that may get requests, by service." };
constexpr metric_spec kUpstreamsOnProbation{ "persimmon_routing_upstreams_on_probation",
                                             "Upstreams on probation, by service." };
constexpr metric_spec kSuspects{ "persimmon_routing_suspects",
                                 "Requests under suspicion of killing upstreams." };
constexpr metric_spec kQuarantined{ "persimmon_routing_quarantined", "Requests in quarantine." };
constexpr metric_spec kUpstreamDeathsTotal{
  "persimmon_routing_upstream_deaths_total",
  "Upstreams that died with requests in flight, by service."
};
constexpr metric_spec kRetryBudgetLeft{ "persimmon_routing_retry_budget_left",
                                        "Retries that the budget still allows, by service." };

/// All metrics of this module.
inline constexpr std::array kRoutingMetrics{
  kChoicesTotal,    kRetriesTotal,    kAdmissionsTotal,     kAdmissionWaitSeconds,
  kRequestsRunning, kRequestsWaiting, kUpstreamsEligible,   kUpstreamsOnProbation,
  kSuspects,        kQuarantined,     kUpstreamDeathsTotal, kRetryBudgetLeft
};

} // namespace persimmon::routing
