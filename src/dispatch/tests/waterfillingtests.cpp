#include "base/random.h"
#include "dispatch/waterfilling.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace persimmon;
using namespace persimmon::dispatch;

// clang-format off
TEST_GROUP(water_filling)
{
  random_source random{ 7 };

  std::vector<std::size_t> Draws(const std::vector<double>& aCosts, double aCalls, int aTimes)
  {
    std::vector<std::size_t> taken(aCosts.size());
    for (int i = 0; i < aTimes; ++i) {
      ++taken[SampleWaterFilling(aCosts, 2 * aCalls, random.Next())];
    }
    return taken;
  }
};
// clang-format on

TEST(water_filling, SingleRouterTakesTheCheapest)
{
  UNSIGNED_LONGS_EQUAL(1000, Draws({ 30, 10, 20 }, 0, 1000)[1]);
}

TEST(water_filling, ManyRoutersOnTheSameNewsDoNotAllTakeTheIdleOne)
{
  // Sixty routers give out 300 calls before they hear again; one of 35 groups looks idle.
  std::vector<double> costs(35, 40);
  costs[4] = 20;
  const auto taken = Draws(costs, 300, 300);
  CHECK(taken[4] > 9);
  CHECK(taken[4] < 45);
  CHECK(*std::max_element(taken.begin(), taken.end()) < 45);
}

TEST(water_filling, FewCallsGoWhereTheyCostLeast)
{
  // Ten calls raise the two cheapest to 20 each and reach no other.
  const auto taken = Draws({ 10, 10, 25, 40 }, 10, 1000);
  UNSIGNED_LONGS_EQUAL(1000, taken[0] + taken[1]);
  CHECK(taken[0] > 400 && taken[1] > 400);
}

TEST(water_filling, PartsMakeUpForTheDifference)
{
  // Level 30: the first takes 20 of 30 parts, the second 10.
  const auto taken = Draws({ 10, 20 }, 15, 3000);
  CHECK(taken[0] > 1800 && taken[0] < 2200);
}

TEST(water_filling, OneUpstreamTakesAll)
{
  UNSIGNED_LONGS_EQUAL(10, Draws({ 5 }, 100, 10)[0]);
}
