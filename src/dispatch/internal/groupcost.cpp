#include "dispatch/internal/groupcost.h"

#include "dispatch/internal/failurecost.h"

#include <algorithm>
#include <cmath>

namespace persimmon::dispatch {
namespace {

/// Ratio of the mean to the expected event gap above which a group counts as slow.
constexpr double kSlowThreshold = 1.5;
/// Time for which reported or measured slowness is used; afterwards the upstream is tried again.
constexpr duration kSlowdownLifetime = 3_s;

} // namespace

group_cost::group_cost(const upstream_stats_table& aStats,
                       const routes::engine_profile& aEngine,
                       const routes::model_profile* aModel)
  : mStats(aStats)
  , mEngine(aEngine)
  , mTimeFactor(aModel == nullptr ? 1 : aModel->timeFactor)
  , mSlots(static_cast<double>(std::max<std::size_t>(aEngine.slots, 1)))
{
}

double
group_cost::QueueWaitMs(const fleet::engine_group& aGroup, time_point aNow) const
{
  const double calls = mStats.EstimatedCalls(aGroup.Head(), aNow);
  const double stepMs = mEngine.stepMs + mEngine.stepPerRequestMs * mSlots;
  const double occupancyMs = mEngine.meanOutputTokens * stepMs * mTimeFactor;
  return std::max(0.0, calls + 1 - mSlots) * occupancyMs / mSlots;
}

bool
group_cost::IsBelow(const fleet::engine_group& aGroup, double aPart, time_point aNow) const
{
  return mStats.EstimatedCalls(aGroup.Head(), aNow) + 1 <= aPart * mSlots;
}

double
group_cost::SlowdownFactor(const fleet::engine_group& aGroup,
                           double aExpectedGapMs,
                           time_point aNow) const
{
  const upstream_stats* stats = mStats.Find(aGroup.Head());
  if (stats == nullptr) {
    return 1;
  }
  const bool isReported = aNow - stats->slowdownReportedAt < kSlowdownLifetime;
  double slowdown = isReported ? std::max(stats->reportedSlowdown, 1.0) : 1;
  const bool isObserved = aNow - stats->lastByteAt < kSlowdownLifetime;
  if (isObserved && stats->meanLatencyMs > kSlowThreshold * aExpectedGapMs + kGroupTieToleranceMs) {
    slowdown = std::max(slowdown, stats->meanLatencyMs / std::max(aExpectedGapMs, 1.0));
  }
  return slowdown;
}

double
group_cost::PromptMs(const fleet::engine_group& aGroup,
                     std::uint64_t aPromptTokens,
                     double aCalls) const
{
  const upstream_stats* stats = mStats.Find(aGroup.Head());
  const double pending = stats == nullptr ? 0 : static_cast<double>(stats->pendingPromptTokens);
  const double tokens = pending + static_cast<double>(aPromptTokens);
  const double promptMs = tokens * 1000 / std::max(mEngine.promptTokensPerSecond, 1.0);
  const double stepMs = mEngine.stepMs + mEngine.stepPerRequestMs * aCalls;
  // Each pass processes one prompt chunk and then runs decode steps for the running requests.
  const double passes =
    std::ceil(tokens / static_cast<double>(std::max<std::uint64_t>(mEngine.promptChunkTokens, 1)));
  const double decodeMs =
    stepMs * static_cast<double>(mEngine.stepsPerAdmission) * (passes + aCalls / mSlots);
  return (promptMs + decodeMs) * mTimeFactor;
}

double
group_cost::Penalty(const fleet::engine_group& aGroup, time_point aNow) const
{
  const double calls = mStats.EstimatedCalls(aGroup.Head(), aNow);
  const double stepMs = mEngine.stepMs + mEngine.stepPerRequestMs * calls;
  const double expectedGap = stepMs * static_cast<double>(mEngine.stepsPerAdmission) * mTimeFactor;
  const double slowdown = SlowdownFactor(aGroup, expectedGap, aNow);
  return mStats.FailsOften(aGroup.Head(), aNow) ? slowdown * kFailureCostFactor : slowdown;
}

double
group_cost::CostMs(const fleet::engine_group& aGroup,
                   std::uint64_t aPromptTokens,
                   time_point aNow) const
{
  const double calls = mStats.EstimatedCalls(aGroup.Head(), aNow);
  return (PromptMs(aGroup, aPromptTokens, calls) + QueueWaitMs(aGroup, aNow)) *
         Penalty(aGroup, aNow);
}

double
group_cost::UnqueuedCostMs(const fleet::engine_group& aGroup,
                           std::uint64_t aPromptTokens,
                           time_point aNow) const
{
  const double calls = std::min(mStats.EstimatedCalls(aGroup.Head(), aNow), mSlots);
  return PromptMs(aGroup, aPromptTokens, calls) * Penalty(aGroup, aNow);
}

double
group_cost::MarginalCostMs() const
{
  const double stepMs = 2 * mEngine.stepPerRequestMs + mEngine.stepMs / mSlots;
  return stepMs * static_cast<double>(mEngine.stepsPerAdmission) * mTimeFactor;
}

} // namespace persimmon::dispatch
