#include "routes/longesteventwait.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::routes;

namespace {

const service_name kService{ "llm" };

route
Stream(duration aLatencyTarget, duration aEventGapTarget)
{
  route made;
  made.kind = call_kind::streaming;
  made.latencyTarget = aLatencyTarget;
  made.eventGapTarget = aEventGapTarget;
  made.services = { { { "other" }, 1 }, { kService, 1 } };
  return made;
}

} // namespace

// clang-format off
TEST_GROUP(longest_event_wait)
{
  configuration declared;
};
// clang-format on

TEST(longest_event_wait, CallersWaitForMultiplesOfTheTargetsAndTwoSecondsAtLeast)
{
  declared.routes = { Stream(100_ms, 100_ms) };
  CHECK(LongestEventWait(declared, kService) == 2_s);
  declared.routes = { Stream(1_s, 300_ms) };
  CHECK(LongestEventWait(declared, kService) == 4_s);
  declared.routes = { Stream(100_ms, 300_ms) };
  CHECK(LongestEventWait(declared, kService) == 2400_ms);
}

TEST(longest_event_wait, RouteWithTheMostPatientCallersCounts)
{
  declared.routes = { Stream(100_ms, 100_ms), Stream(1_s, 100_ms), Stream(400_ms, 100_ms) };
  CHECK(LongestEventWait(declared, kService) == 4_s);
}

TEST(longest_event_wait, RoutesToOtherServicesAndWithoutStreamsDoNotCount)
{
  declared.routes = { Stream(1_s, 1_s) };
  declared.routes.front().kind = call_kind::idempotent;
  CHECK(LongestEventWait(declared, kService) == 0_ms);
  declared.routes = { Stream(1_s, 1_s) };
  CHECK(LongestEventWait(declared, { "third" }) == 0_ms);
}
