#include "admission/returningcallers.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::admission;

TEST_GROUP(returning_callers){};

// Guards against callers who come back and take the slots of those who can still be in time.
TEST(returning_callers, CallerWithLessTimeThanOthersHasWaitedBefore)
{
  returning_callers callers;
  CHECK_FALSE(callers.IsReturning("a", 8_s, { 1000 }));
  CHECK_FALSE(callers.IsReturning("a", 8_s, { 1001 }));
  CHECK_FALSE(callers.IsReturning("a", 6500_ms, { 1002 }));
  CHECK(callers.IsReturning("a", 6300_ms, { 1003 }));
  CHECK_FALSE(callers.IsReturning("b", 7_s, { 1004 }));
}

// Guards against callers who count as returning since others of their route have a little more time
// from the start.
TEST(returning_callers, CallersDifferABitAtFirst)
{
  returning_callers callers;
  callers.IsReturning("a", 6_s, { 1000 });
  for (duration timeout = 5_s; timeout <= 6_s; timeout = timeout + 100_ms) {
    CHECK_FALSE(callers.IsReturning("a", timeout, { 1001 }));
  }
}

// Guards against callers who all count as returning after one of them had a long time.
TEST(returning_callers, LongWaitOfOneCallerIsForgotten)
{
  returning_callers callers;
  callers.IsReturning("a", 60_s, { 1000 });
  CHECK(callers.IsReturning("a", 8_s, { 2000 }));
  CHECK_FALSE(callers.IsReturning("a", 8_s, { 32000 }));
  CHECK_FALSE(callers.IsReturning("a", 8_s, { 32001 }));
}

TEST(returning_callers, ItsMemoryIsBounded)
{
  returning_callers callers;
  for (int i = 0; i < 10000; ++i) {
    CHECK_FALSE(callers.IsReturning(std::to_string(i), 8_s, { 1000 }));
  }
  CHECK_FALSE(callers.IsReturning("9999", 1_s, { 1000 }));
}
