#pragma once

#include "dispatch/upstreamstatstable.h"
#include "fleet/enginegroup.h"
#include "routes/engineprofile.h"

namespace persimmon::dispatch {

/// Costs that differ by less count as equal, so that routers with similar views do not all select
/// the same group; in milliseconds. Also the margin above which a group counts as slow.
constexpr double kGroupTieToleranceMs = 12;

/// Predicts how long the groups of one model take for a call, from their load and slowness.
class group_cost
{
public:
  /// aModel is the model's profile, nullptr when it has none.
  group_cost(const upstream_stats_table& aStats,
             const routes::engine_profile& aEngine,
             const routes::model_profile* aModel);

  /// Returns the predicted time until a group answers a prompt, in milliseconds, with penalties for
  /// slowness and failures.
  [[nodiscard]] double CostMs(const fleet::engine_group& aGroup,
                              std::uint64_t aPromptTokens,
                              time_point aNow) const;
  /// Returns the same without the time that the call would wait for a free slot.
  [[nodiscard]] double UnqueuedCostMs(const fleet::engine_group& aGroup,
                                      std::uint64_t aPromptTokens,
                                      time_point aNow) const;
  /// Returns the time that one more call would wait for a free slot of a group, in milliseconds.
  [[nodiscard]] double QueueWaitMs(const fleet::engine_group& aGroup, time_point aNow) const;
  /// Returns whether a group has fewer calls than a part of its slots, with one more.
  [[nodiscard]] bool IsBelow(const fleet::engine_group& aGroup,
                             double aPart,
                             time_point aNow) const;
  /// Returns the cost that one more call adds to a group, in milliseconds.
  [[nodiscard]] double MarginalCostMs() const;

private:
  /// Returns the predicted time until a group with a number of calls answers a prompt that runs at
  /// once.
  [[nodiscard]] double PromptMs(const fleet::engine_group& aGroup,
                                std::uint64_t aPromptTokens,
                                double aCalls) const;
  /// Returns the factor by which slowness and failures raise the cost of a group.
  [[nodiscard]] double Penalty(const fleet::engine_group& aGroup, time_point aNow) const;
  /// Returns the factor by which a group is slower than expected, from its reports and from
  /// measured event gaps; at least 1.
  [[nodiscard]] double SlowdownFactor(const fleet::engine_group& aGroup,
                                      double aExpectedGapMs,
                                      time_point aNow) const;

  const upstream_stats_table& mStats;
  const routes::engine_profile& mEngine;
  double mTimeFactor = 1;
  double mSlots = 1;
};

} // namespace persimmon::dispatch
