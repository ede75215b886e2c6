#include "app/router/servicegauges.h"

#include "routing/routingmetrics.h"

namespace persimmon::router {
namespace {

void
SetGauges(service_shard& aService, metrics_registry& aMetrics, time_point aNow)
{
  const std::vector<metric_label> labels{ { "service", aService.Name().value } };
  const auto set = [&](const metric_spec& aMetric, std::size_t aValue) {
    aMetrics.Set(aMetric, static_cast<double>(aValue), labels);
  };
  set(routing::kRequestsRunning, aService.Running());
  set(routing::kRequestsWaiting, aService.Waiting());
  set(routing::kUpstreamsEligible, aService.View()->EligibleCount(aNow));
  set(routing::kUpstreamsOnProbation, aService.ProbationCount());
  aMetrics.Set(routing::kRetryBudgetLeft, aService.RetryBudgetLeft(aNow), labels);
}

} // namespace

void
SetServiceGauges(const cluster_board& aBoard,
                 const suspect_board& aSuspects,
                 metrics_registry& aMetrics,
                 time_point aNow)
{
  for (const auto& service : aBoard.Services()) {
    SetGauges(*service, aMetrics, aNow);
  }
  std::size_t suspects = 0;
  std::size_t quarantined = 0;
  for (const peers::suspect_message& one : aSuspects.All(aNow)) {
    quarantined += one.quarantined ? 1 : 0;
    suspects += !one.quarantined && one.deaths > 0 ? 1 : 0;
  }
  aMetrics.Set(routing::kSuspects, static_cast<double>(suspects));
  aMetrics.Set(routing::kQuarantined, static_cast<double>(quarantined));
}

} // namespace persimmon::router
