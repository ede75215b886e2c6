#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>

namespace persimmon::gateway {

/// Pause of one gateway after a change of the instances, where few gateways watch.
constexpr duration kMinBatchDelay = 150_ms;
/// Time kept of what the platform grants for leaving instances: for the call that tells of one.
constexpr duration kLeaveNoticeReserve = 700_ms;
/// Time in which all gateways together ask the store once on average while instances change.
constexpr duration kBatchDelayPerGateway = 50_ms;

/// Returns the time in which one gateway collects changes of the instances before it asks the store
/// for more. It grows with the number of gateways, so that their calls together do not; an instance
/// that leaves must get no calls any more after aLeaveNotice.
constexpr duration
BatchDelay(std::size_t aGatewayCount, duration aLeaveNotice)
{
  const duration proportional = kBatchDelayPerGateway * static_cast<std::int64_t>(aGatewayCount);
  const duration longest = std::max(aLeaveNotice - kLeaveNoticeReserve, kMinBatchDelay);
  return std::clamp(proportional, kMinBatchDelay, longest);
}

} // namespace persimmon::gateway
