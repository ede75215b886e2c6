#include "dispatch/repeatbudget.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace persimmon;
using namespace persimmon::dispatch;

// clang-format off
TEST_GROUP(repeat_budget)
{
  repeat_limits limits{ 0.2, 10, 10_s };
};
// clang-format on

namespace {

std::size_t
TakeAll(repeat_budget& aBudget, time_point aNow)
{
  std::size_t taken = 0;
  while (aBudget.TryTake(aNow)) {
    ++taken;
  }
  return taken;
}

} // namespace

TEST(repeat_budget, RoutersTogetherStayBelowTheBound)
{
  const std::size_t routers = 9;
  std::size_t taken = 0;
  for (std::size_t i = 0; i < routers; ++i) {
    repeat_budget budget(limits);
    budget.SetRouters(routers);
    for (int call = 0; call < 100; ++call) {
      budget.OnCall({ 500 });
    }
    taken += TakeAll(budget, { 600 });
  }
  CHECK(taken <= 0.2 * 900 + 10);
  CHECK(taken > 100);
}

TEST(repeat_budget, AnySpanOfTheWindowsLengthStaysBelowTheBound)
{
  repeat_budget budget(limits);
  std::vector<std::int64_t> taken;
  for (std::int64_t ms = 0; ms < 40000; ms += 50) {
    budget.OnCall({ ms });
    while (budget.TryTake({ ms })) {
      taken.push_back(ms);
    }
  }
  for (const std::int64_t start : taken) {
    const auto count = std::count_if(taken.begin(), taken.end(), [start](std::int64_t aAt) {
      return aAt >= start && aAt < start + 10000;
    });
    CHECK(static_cast<double>(count) <= 0.2 * 200 + 10);
  }
}

TEST(repeat_budget, SpentRepeatsComeBackAfterTheWindow)
{
  repeat_budget budget(limits);
  const std::size_t first = TakeAll(budget, { 0 });
  CHECK(first > 0);
  UNSIGNED_LONGS_EQUAL(0, TakeAll(budget, { 9000 }));
  UNSIGNED_LONGS_EQUAL(first, TakeAll(budget, { 11000 }));
}
