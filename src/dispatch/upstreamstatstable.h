#pragma once

#include "dispatch/upstreamstats.h"
#include "fleet/fleetview.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace persimmon::dispatch {

/// Time for which a load report is used; afterwards only the calls of this router count.
constexpr duration kLoadReportLifetime = 3_s;

/// Statistics of this router about all upstreams that it calls: load, failures and response times.
/// Does no I/O and reads no clock; not thread-safe.
class upstream_stats_table
{
public:
  /// aFleet tells the incarnation of an upstream; statistics begin anew with each.
  explicit upstream_stats_table(const fleet::fleet_view& aFleet)
    : mFleet(aFleet)
  {
  }

  /// Records that a call was sent. Returns the incarnation of the upstream.
  incarnation OnCallStarted(const instance_id& aUpstream, std::uint64_t aPromptTokens);
  /// Records the start of a response; the prompt tokens of the call are no longer pending.
  void OnFirstByte(const instance_id& aUpstream, std::uint64_t aPromptTokens, time_point aNow);
  /// Records that the upstream is responsive.
  void OnBytesReceived(const instance_id& aUpstream, time_point aNow);
  /// Records the end of a call; aPendingTokens are its prompt tokens when it had no response yet.
  void OnCallEnded(const instance_id& aUpstream, std::uint64_t aPendingTokens);
  /// Records the time between two events of a stream, or the whole response time of a call that is
  /// not a stream.
  void RecordLatency(const instance_id& aUpstream, duration aLatency);
  /// Records the reported ratio of actual to expected processing time.
  void RecordReportedSlowdown(const instance_id& aUpstream, double aSlowdown, time_point aNow);
  /// Updates the failure rate of an upstream.
  void RecordOutcome(const instance_id& aUpstream, bool aSucceeded, time_point aNow);
  /// Records a load report and restarts the count of calls since the report.
  void RecordReportedLoad(const instance_id& aUpstream,
                          const upstream_load& aLoad,
                          time_point aNow);
  /// Excludes an upstream from selection until a time; never shortens an earlier exclusion.
  void AvoidUntil(const instance_id& aUpstream, time_point aUntil);
  /// Drops the statistics of upstreams that no longer exist and have no call in flight.
  void Prune();

  /// Returns the statistics of an upstream; nullptr when there are none.
  [[nodiscard]] const upstream_stats* Find(const instance_id& aUpstream) const;
  /// Returns whether an upstream is excluded from selection now.
  [[nodiscard]] bool IsAvoided(const instance_id& aUpstream, time_point aNow) const;
  /// Returns the estimated number of calls at an upstream, from all routers.
  [[nodiscard]] double EstimatedCalls(const instance_id& aUpstream, time_point aNow) const;
  /// Returns whether so many calls failed lately that an upstream is selected only when there is no
  /// better one.
  [[nodiscard]] bool FailsOften(const instance_id& aUpstream, time_point aNow) const;
  /// Returns the mean of the latencies, in milliseconds, at least 1; empty when none was measured.
  [[nodiscard]] std::optional<double> MeanLatencyMs(const instance_id& aUpstream) const;

private:
  /// Returns the statistics of an upstream; resets them when it has restarted.
  upstream_stats& Current(const instance_id& aUpstream);
  /// Returns the failure rate of an upstream, decayed to aNow.
  [[nodiscard]] double FailureRate(const instance_id& aUpstream, time_point aNow) const;

  const fleet::fleet_view& mFleet;
  std::unordered_map<instance_id, upstream_stats> mStats;
};

} // namespace persimmon::dispatch
