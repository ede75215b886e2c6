#pragma once

#include <cstdint>

namespace persimmon::bench {

/// Compares the placer with two baselines over a fixed script of failures, for the weights of
/// both deployments.
void
RunPlacementScript(std::uint64_t aSeed);

/// Counts the calls to the platform in an hour without failures, and for one lost member.
void
RunStoreCalls(std::uint64_t aSeed);

/// Measures planning time and allocations at 60, 910 and 10,000 instances.
void
RunPlanningCost(std::uint64_t aSeed);

} // namespace persimmon::bench
