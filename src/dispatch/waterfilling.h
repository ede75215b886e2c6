#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace persimmon::dispatch {

/// Chooses among upstreams whose load is known with a delay. All routers see the same delayed
/// loads; if each took the cheapest upstream, they would all take the same one. Instead, the calls
/// that arrive at all routers before the next load report are distributed by water filling: they
/// raise the cheapest upstreams to a common cost level. An upstream is then chosen with a
/// probability proportional to the cost that it would receive.
///
/// aCosts holds the current cost of each upstream and must not be empty. aAddedCost is the total
/// cost that those calls add, in the same unit. aRandom must be uniformly distributed. Returns the
/// index of the chosen upstream.
std::size_t
SampleWaterFilling(const std::vector<double>& aCosts, double aAddedCost, std::uint64_t aRandom);

} // namespace persimmon::dispatch
