#include "dispatch/callrate.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::dispatch;

// clang-format off
TEST_GROUP(call_rate)
{
  call_rate rate;
  time_point now{ 1000 };
};
// clang-format on

TEST(call_rate, MeasuresTheRateOfSteadyCalls)
{
  for (int i = 0; i < 1000; ++i) {
    now = now + 20_ms;
    rate.Record(now);
  }
  DOUBLES_EQUAL(50, rate.PerSecond(now), 2);
}

TEST(call_rate, RateDecaysWhenCallsStop)
{
  for (int i = 0; i < 1000; ++i) {
    now = now + 20_ms;
    rate.Record(now);
  }
  CHECK(rate.PerSecond(now + 10_s) < 3);
}

TEST(call_rate, RateIsZeroWithoutCalls)
{
  DOUBLES_EQUAL(0, rate.PerSecond(now), 0);
}
