#include "dispatch/upstreamstatstable.h"

#include <algorithm>
#include <cmath>

namespace persimmon::dispatch {
namespace {

/// Half-life of the failure rate, so that an upstream that has recovered is tried again.
constexpr duration kFailureHalfLife = 2_s;
/// Weight of the latest outcome in the failure rate.
constexpr double kFailureWeight = 0.3;
/// Failure rate above which an upstream is selected only when there is no better one.
constexpr double kFailureRateLimit = 0.25;
/// Weight of the latest sample in the mean latency.
constexpr double kLatencyWeight = 0.15;

} // namespace

upstream_stats&
upstream_stats_table::Current(const instance_id& aUpstream)
{
  upstream_stats& stats = mStats[aUpstream];
  const fleet::instance* known = mFleet.Find(aUpstream);
  if (known != nullptr && known->incarnationId > stats.incarnationId) {
    const std::uint64_t inFlight = stats.inFlight;
    const std::uint64_t pending = stats.pendingPromptTokens;
    stats = {};
    stats.incarnationId = known->incarnationId;
    // Calls to the previous incarnation are still in flight and end one by one.
    stats.inFlight = inFlight;
    stats.pendingPromptTokens = pending;
  }
  return stats;
}

incarnation
upstream_stats_table::OnCallStarted(const instance_id& aUpstream, std::uint64_t aPromptTokens)
{
  upstream_stats& stats = Current(aUpstream);
  ++stats.inFlight;
  ++stats.callsSinceReport;
  stats.pendingPromptTokens += aPromptTokens;
  return stats.incarnationId;
}

void
upstream_stats_table::OnFirstByte(const instance_id& aUpstream,
                                  std::uint64_t aPromptTokens,
                                  time_point aNow)
{
  upstream_stats& stats = Current(aUpstream);
  stats.pendingPromptTokens -= std::min(aPromptTokens, stats.pendingPromptTokens);
  stats.lastByteAt = aNow;
}

void
upstream_stats_table::OnBytesReceived(const instance_id& aUpstream, time_point aNow)
{
  Current(aUpstream).lastByteAt = aNow;
}

void
upstream_stats_table::OnCallEnded(const instance_id& aUpstream, std::uint64_t aPendingTokens)
{
  upstream_stats& stats = Current(aUpstream);
  stats.inFlight -= std::min<std::uint64_t>(stats.inFlight, 1);
  stats.pendingPromptTokens -= std::min(aPendingTokens, stats.pendingPromptTokens);
}

void
upstream_stats_table::RecordLatency(const instance_id& aUpstream, duration aLatency)
{
  upstream_stats& stats = Current(aUpstream);
  const auto sampleMs = static_cast<double>(aLatency.ms);
  stats.meanLatencyMs = stats.meanLatencyMs == 0
                          ? sampleMs
                          : stats.meanLatencyMs + kLatencyWeight * (sampleMs - stats.meanLatencyMs);
}

void
upstream_stats_table::RecordReportedSlowdown(const instance_id& aUpstream,
                                             double aSlowdown,
                                             time_point aNow)
{
  upstream_stats& stats = Current(aUpstream);
  stats.reportedSlowdown = aSlowdown;
  stats.slowdownReportedAt = aNow;
}

void
upstream_stats_table::RecordOutcome(const instance_id& aUpstream, bool aSucceeded, time_point aNow)
{
  upstream_stats& stats = Current(aUpstream);
  const double before = FailureRate(aUpstream, aNow);
  stats.failureRate = before + kFailureWeight * ((aSucceeded ? 0.0 : 1.0) - before);
  stats.failureRateUpdatedAt = aNow;
}

void
upstream_stats_table::RecordReportedLoad(const instance_id& aUpstream,
                                         const upstream_load& aLoad,
                                         time_point aNow)
{
  upstream_stats& stats = Current(aUpstream);
  stats.reportedLoad = aLoad;
  stats.loadReportedAt = aNow;
  stats.callsSinceReport = 0;
}

void
upstream_stats_table::AvoidUntil(const instance_id& aUpstream, time_point aUntil)
{
  upstream_stats& stats = Current(aUpstream);
  stats.avoidedUntil = std::max(stats.avoidedUntil, aUntil);
}

void
upstream_stats_table::Prune()
{
  std::erase_if(mStats, [this](const auto& aEntry) {
    return aEntry.second.inFlight == 0 && mFleet.Find(aEntry.first) == nullptr;
  });
}

const upstream_stats*
upstream_stats_table::Find(const instance_id& aUpstream) const
{
  const auto found = mStats.find(aUpstream);
  return found == mStats.end() ? nullptr : &found->second;
}

bool
upstream_stats_table::IsAvoided(const instance_id& aUpstream, time_point aNow) const
{
  const upstream_stats* stats = Find(aUpstream);
  return stats != nullptr && stats->avoidedUntil > aNow;
}

double
upstream_stats_table::EstimatedCalls(const instance_id& aUpstream, time_point aNow) const
{
  const upstream_stats* stats = Find(aUpstream);
  if (stats == nullptr) {
    return 0;
  }
  const auto own = static_cast<double>(stats->inFlight);
  if (aNow - stats->loadReportedAt > kLoadReportLifetime) {
    return own;
  }
  const double reported =
    static_cast<double>(stats->reportedLoad.running + stats->reportedLoad.waiting) +
    static_cast<double>(stats->callsSinceReport);
  return std::max(own, reported);
}

double
upstream_stats_table::FailureRate(const instance_id& aUpstream, time_point aNow) const
{
  const upstream_stats* stats = Find(aUpstream);
  if (stats == nullptr || stats->failureRate <= 0) {
    return 0;
  }
  const double halfLives = static_cast<double>((aNow - stats->failureRateUpdatedAt).ms) /
                           static_cast<double>(kFailureHalfLife.ms);
  return stats->failureRate * std::exp2(-std::max(halfLives, 0.0));
}

bool
upstream_stats_table::FailsOften(const instance_id& aUpstream, time_point aNow) const
{
  return FailureRate(aUpstream, aNow) > kFailureRateLimit;
}

std::optional<double>
upstream_stats_table::MeanLatencyMs(const instance_id& aUpstream) const
{
  const upstream_stats* stats = Find(aUpstream);
  if (stats == nullptr || stats->meanLatencyMs <= 0) {
    return std::nullopt;
  }
  return std::max(stats->meanLatencyMs, 1.0);
}

} // namespace persimmon::dispatch
