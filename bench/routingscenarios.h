#pragma once

#include <cstdint>

namespace persimmon::bench {

/// Tail latency with all groups healthy, with one straggler in ten, one dead group, lagging
/// reports, and all three, for each policy.
void
RunPolicyScenarios(std::uint64_t aSeed);

/// Tail latency with 625 groups and 109 routers, for each policy.
void
RunRegionScenario(std::uint64_t aSeed);

/// A 2x overload, most of it by one customer, for each kind of admission.
void
RunOverloadScenario(std::uint64_t aSeed);

/// Half, then nine tenths of the attempts fail for a while at high load, for each kind of retries.
void
RunRetryStormScenario(std::uint64_t aSeed);

} // namespace persimmon::bench
