#include "base/decayingsum.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

// clang-format off
TEST_GROUP(decaying_sum)
{
  decaying_sum sum{ 2_s };
  time_point now{ 1000 };
};
// clang-format on

TEST(decaying_sum, ValueHalvesWithEachHalfLife)
{
  sum.Add(8, now);
  DOUBLES_EQUAL(8, sum.Value(now), 0.001);
  DOUBLES_EQUAL(4, sum.Value(now + 2_s), 0.001);
  sum.Add(1, now + 2_s);
  DOUBLES_EQUAL(2.5, sum.Value(now + 4_s), 0.001);
}

TEST(decaying_sum, ValueIsZeroBeforeTheFirstAdd)
{
  DOUBLES_EQUAL(0, sum.Value(now), 0);
}
