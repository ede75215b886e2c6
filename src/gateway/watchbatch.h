#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>

namespace persimmon::gateway {

/// Pause of one gateway after a change of the instances, where few gateways watch.
constexpr duration kShortestBatch = 150_ms;
/// Time kept of what the platform grants for leaving instances: for the call that tells of one.
constexpr duration kLeaveReserve = 700_ms;
/// Time in which all gateways together ask the store once on average while instances change.
constexpr duration kBatchPerGateway = 50_ms;

/// Returns the time in which one gateway collects changes of the instances before it asks the store
/// for more. It grows with the number of gateways, so that their calls together do not; an instance
/// that leaves must get no calls any more after aLeaveNotice.
constexpr duration
BatchOf(std::size_t aGateways, duration aLeaveNotice)
{
  const duration shared = kBatchPerGateway * static_cast<std::int64_t>(aGateways);
  const duration longest = std::max(aLeaveNotice - kLeaveReserve, kShortestBatch);
  return std::clamp(shared, kShortestBatch, longest);
}

} // namespace persimmon::gateway
