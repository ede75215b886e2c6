#pragma once

#include "load/exchangeresult.h"
#include "load/plannedcall.h"

#include <cstdint>
#include <optional>

namespace persimmon::load {

/// How often a call was sent so far.
struct send_counts
{
  /// All sendings, the first included.
  std::uint64_t sent = 1;
  /// Sendings to a router that took no connection.
  std::uint64_t notSent = 0;
  /// True when an answered call was sent again on purpose.
  bool duplicated = false;
};

/// Returns how long to wait before the call is sent through the next router, or nothing when its
/// result stands. A call is sent again when no router took the connection, as a balancer would do,
/// and under the same key when it has one and its outcome is unknown.
std::optional<duration>
ResendWait(const planned_call& aCall,
           const exchange_result& aResult,
           const send_counts& aCounts,
           std::uint64_t aRouters);

} // namespace persimmon::load
