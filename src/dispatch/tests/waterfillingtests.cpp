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

  std::vector<std::size_t> CountChoices(const std::vector<double>& aCosts,
                                        double aCalls,
                                        int aTimes)
  {
    std::vector<std::size_t> counts(aCosts.size());
    for (int i = 0; i < aTimes; ++i) {
      ++counts[SampleWaterFilling(aCosts, 2 * aCalls, random.Next())];
    }
    return counts;
  }
};
// clang-format on

TEST(water_filling, CheapestIsChosenWithoutAddedCost)
{
  UNSIGNED_LONGS_EQUAL(1000, CountChoices({ 30, 10, 20 }, 0, 1000)[1]);
}

TEST(water_filling, IdleUpstreamIsNotChosenByAllRouters)
{
  // 60 routers send 300 calls before the next load report; 1 of 35 groups is reported idle.
  std::vector<double> costs(35, 40);
  costs[4] = 20;
  const auto counts = CountChoices(costs, 300, 300);
  CHECK(counts[4] > 9);
  CHECK(counts[4] < 45);
  CHECK(*std::max_element(counts.begin(), counts.end()) < 45);
}

TEST(water_filling, SmallAddedCostGoesToTheCheapestOnly)
{
  // 10 calls raise the two cheapest to 20 each, which is below the cost of the others.
  const auto counts = CountChoices({ 10, 10, 25, 40 }, 10, 1000);
  UNSIGNED_LONGS_EQUAL(1000, counts[0] + counts[1]);
  CHECK(counts[0] > 400 && counts[1] > 400);
}

TEST(water_filling, SharesEqualizeTheCosts)
{
  // The common level is 30: the first gets 20 of the added 30, the second 10.
  const auto counts = CountChoices({ 10, 20 }, 15, 3000);
  CHECK(counts[0] > 1800 && counts[0] < 2200);
}

TEST(water_filling, SingleUpstreamIsAlwaysChosen)
{
  UNSIGNED_LONGS_EQUAL(10, CountChoices({ 5 }, 100, 10)[0]);
}
