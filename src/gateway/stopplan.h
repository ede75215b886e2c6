#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace persimmon::gateway {

/// Time after the stop signal in which new calls are still accepted. The load balancer needs two
/// readiness checks, one second apart, before it sends no new callers, and it never stops sending
/// some callers.
constexpr duration kStopNotice = 2700_ms;
/// The notice takes at most the grace period divided by this.
constexpr std::int64_t kStopNoticeDivisor = 2;
/// Most and least part of the grace period that is left for the shutdown after the drain: the last
/// responses are sent and the threads end.
constexpr duration kMaxExitReserve = 900_ms;
constexpr duration kMinExitReserve = 400_ms;
/// Between the two, the reserve is the grace period divided by this.
constexpr std::int64_t kExitReserveDivisor = 8;

/// Times of a planned stop.
struct stop_plan
{
  /// Until then new calls are accepted.
  time_point acceptsUntil;
  /// Until then calls are answered; what still runs is cut off.
  time_point answersUntil;
};

/// Returns the times of a stop that was requested at aStartedAt, after which the process is killed
/// at the end of the grace period.
constexpr stop_plan
PlanStop(time_point aStartedAt, duration aGracePeriod)
{
  const duration notice = std::min(kStopNotice, aGracePeriod / kStopNoticeDivisor);
  const duration reserve =
    std::clamp(aGracePeriod / kExitReserveDivisor, kMinExitReserve, kMaxExitReserve);
  return { aStartedAt + notice, aStartedAt + std::max(aGracePeriod - reserve, duration{}) };
}

} // namespace persimmon::gateway
