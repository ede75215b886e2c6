#include "app/router/servicegauges.h"

#include "routing/routingmetrics.h"

namespace persimmon::router {
namespace {

void
PublishService(const service_shard& aService, metrics_registry& aMetrics, time_point aNow)
{
  const std::vector<metric_label> labels = { { "service", aService.Name().value } };
  const service_figures figures = aService.Figures(aNow);
  aMetrics.Set(routing::kRequestsRunning, static_cast<double>(figures.running), labels);
  aMetrics.Set(routing::kRequestsWaiting, static_cast<double>(figures.waiting), labels);
  aMetrics.Set(routing::kUpstreamsEligible, static_cast<double>(figures.eligible), labels);
  aMetrics.Set(routing::kUpstreamsOnProbation, static_cast<double>(figures.onProbation), labels);
  aMetrics.Set(routing::kRetryBudgetLeft, figures.retriesLeft, labels);
}

} // namespace

void
PublishGauges(const cluster_board& aBoard,
              const suspect_board& aSuspects,
              metrics_registry& aMetrics,
              time_point aNow)
{
  for (const auto& service : aBoard.Services()) {
    PublishService(*service, aMetrics, aNow);
  }
  const poison::suspicion_counts counts = aSuspects.Count(aNow);
  aMetrics.Set(routing::kSuspects, static_cast<double>(counts.suspects));
  aMetrics.Set(routing::kQuarantined, static_cast<double>(counts.quarantined));
}

} // namespace persimmon::router
