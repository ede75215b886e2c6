#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace persimmon::dispatch {

/// Chooses among upstreams whose load is known with a delay. All routers see the same delayed
/// loads; would each take the cheapest, they would all take the same one. So the calls that come
/// to all routers until the next news are thought of as poured over the upstreams until the used
/// ones cost the same, and an upstream is drawn with the part that it would get.
///
/// aCosts holds the present cost of each, aAddedCost what all those calls add to the costs together
/// and aRandom a uniformly distributed number. Returns the position of the chosen one; aCosts must
/// not be empty.
std::size_t
SampleWaterFilling(const std::vector<double>& aCosts, double aAddedCost, std::uint64_t aRandom);

} // namespace persimmon::dispatch
