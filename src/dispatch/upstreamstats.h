#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/upstreamload.h"

#include <cstdint>

namespace persimmon::dispatch {

/// What this router has seen of one upstream in its present life.
struct upstream_stats
{
  persimmon::incarnation incarnation;
  /// Calls of this router that are in progress.
  std::uint64_t inFlight = 0;
  /// Prompt tokens of those that have not answered yet.
  std::uint64_t pendingPromptTokens = 0;
  upstream_load reportedLoad;
  time_point loadReportedAt{ INT64_MIN / 2 };
  /// Calls that this router has started since the report.
  std::uint64_t callsSinceReport = 0;
  /// Part of the latest calls that failed, 0 to 1; decays with time.
  double failureRate = 0;
  time_point failureRateUpdatedAt{ INT64_MIN / 2 };
  /// Smoothed time between events of its streams, or of an answer of a plain service.
  double meanLatencyMs = 0;
  /// Time for its work against what is expected, as its members tell; above 1 it is slow.
  double reportedSlowdown = 1;
  time_point slowdownReportedAt{ INT64_MIN / 2 };
  /// Gets no new call before this time.
  time_point avoidedUntil{ INT64_MIN / 2 };
  /// Last time that any byte came from it.
  time_point lastByteAt{ INT64_MIN / 2 };
};

} // namespace persimmon::dispatch
