#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/upstreamload.h"

#include <cstdint>

namespace persimmon::dispatch {

/// Statistics of this router about one upstream, since the upstream last started.
struct upstream_stats
{
  /// Incarnation of the upstream that the statistics belong to.
  incarnation incarnationId;
  /// Calls of this router that are in flight.
  std::uint64_t inFlight = 0;
  /// Prompt tokens of the calls in flight that have no response yet.
  std::uint64_t pendingPromptTokens = 0;
  /// Latest load report of the upstream.
  upstream_load reportedLoad;
  time_point loadReportedAt{ INT64_MIN / 2 };
  /// Calls that this router has started since the load report.
  std::uint64_t callsSinceReport = 0;
  /// Moving average of failed calls, 0 to 1, as of failureRateUpdatedAt; decays with time.
  double failureRate = 0;
  time_point failureRateUpdatedAt{ INT64_MIN / 2 };
  /// Moving average of the time between two events of a stream, or of the whole response time for
  /// services without an engine; 0 when nothing was measured.
  double meanLatencyMs = 0;
  /// Ratio of actual to expected processing time, as the members of the group report it; above 1
  /// the group is slow.
  double reportedSlowdown = 1;
  time_point slowdownReportedAt{ INT64_MIN / 2 };
  /// No new calls are sent before this time.
  time_point avoidedUntil{ INT64_MIN / 2 };
  /// Time of the last byte received from it.
  time_point lastByteAt{ INT64_MIN / 2 };
};

} // namespace persimmon::dispatch
