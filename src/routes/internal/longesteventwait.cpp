#include "routes/longesteventwait.h"

#include <algorithm>

namespace persimmon::routes {
namespace {

/// Callers wait at least so long for an event.
constexpr duration kMinEventWait = 2_s;
/// They wait for these multiples of a route's targets if that is longer.
constexpr std::int64_t kLatencyTargetFactor = 4;
constexpr std::int64_t kEventGapTargetFactor = 8;

bool
SendsStreamsTo(const route& aRoute, const service_name& aService)
{
  return aRoute.kind == call_kind::streaming &&
         std::any_of(aRoute.services.begin(), aRoute.services.end(), [&](const auto& aWeighted) {
           return aWeighted.service == aService;
         });
}

} // namespace

duration
LongestEventWait(const configuration& aConfiguration, const service_name& aService)
{
  duration longest{};
  for (const route& each : aConfiguration.routes) {
    if (SendsStreamsTo(each, aService)) {
      longest = std::max({ longest,
                           kMinEventWait,
                           each.latencyTarget * kLatencyTargetFactor,
                           each.eventGapTarget * kEventGapTargetFactor });
    }
  }
  return longest;
}

} // namespace persimmon::routes
