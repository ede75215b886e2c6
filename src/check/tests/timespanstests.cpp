#include "check/timespans.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::check;

// clang-format off
TEST_GROUP(time_spans){};
// clang-format on

TEST(time_spans, UnionMergesWhatOverlapsOrTouches)
{
  const time_spans merged = Union({ { { 5 }, { 9 } }, { { 20 }, { 30 } } }, { { { 1 }, { 5 } } });
  CHECK(merged == time_spans({ { { 1 }, { 9 } }, { { 20 }, { 30 } } }));
}

TEST(time_spans, IntersectionKeepsWhatIsInBoth)
{
  const time_spans common = Intersection({ { { 0 }, { 10 } } }, { { { 5 }, { 20 } } });
  CHECK(common == time_spans({ { { 5 }, { 10 } } }));
  CHECK(Intersection({ { { 0 }, { 5 } } }, { { { 5 }, { 9 } } }).empty());
}

TEST(time_spans, TimeOutsideLeavesOutWhatIsWithin)
{
  const time_spans spans = { { { 10 }, { 20 } }, { { 30 }, { 100 } } };
  CHECK_EQUAL(20, TimeOutside(spans, { 0 }, { 40 }).ms);
  CHECK_EQUAL(0, TimeOutside(spans, { 12 }, { 18 }).ms);
  CHECK_EQUAL(0, TimeOutside(spans, { 5 }, { 4 }).ms);
}
