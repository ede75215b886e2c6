#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>

namespace persimmon::gateway {

/// Pause of one gateway after a change of the instances when few gateways read the store.
constexpr duration kMinBatchDelay = 150_ms;
/// Part of the leave notice that is reserved for the store call that reports the departure.
constexpr duration kLeaveNoticeReserve = 700_ms;
/// Average interval between the calls of all readers together to the store while instances change.
constexpr duration kBatchDelayPerReader = 50_ms;

/// Returns the time for which one gateway waits after changes of the instances before it calls the
/// store again. The delay grows with the number of gateways that read, so that their total call
/// rate does not. It is limited by aLeaveNotice, after which a leaving instance must receive no
/// more calls, but never shorter than kMinBatchDelay.
constexpr duration
BatchDelay(std::size_t aReaderCount, duration aLeaveNotice)
{
  const duration proportional = kBatchDelayPerReader * static_cast<std::int64_t>(aReaderCount);
  const duration longest = std::max(aLeaveNotice - kLeaveNoticeReserve, kMinBatchDelay);
  return std::clamp(proportional, kMinBatchDelay, longest);
}

} // namespace persimmon::gateway
