#include "dispatch/retrybudget.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace persimmon;
using namespace persimmon::dispatch;

// clang-format off
TEST_GROUP(retry_budget)
{
  retry_limits limits{ 0.2, 10, 10_s };
};
// clang-format on

namespace {

std::size_t
TakeAll(retry_budget& aBudget, time_point aNow)
{
  std::size_t taken = 0;
  while (aBudget.TryAcquire(aNow)) {
    ++taken;
  }
  return taken;
}

} // namespace

TEST(retry_budget, RoutersTogetherStayWithinTheLimit)
{
  const std::size_t routers = 9;
  std::size_t taken = 0;
  for (std::size_t i = 0; i < routers; ++i) {
    retry_budget budget(limits);
    budget.SetRouterCount(routers);
    for (int call = 0; call < 100; ++call) {
      budget.RecordCall({ 500 });
    }
    taken += TakeAll(budget, { 600 });
  }
  CHECK(taken <= 0.2 * 900 + 10);
  CHECK(taken > 100);
}

TEST(retry_budget, AnyWindowStaysWithinTheLimit)
{
  retry_budget budget(limits);
  std::vector<std::int64_t> taken;
  for (std::int64_t ms = 0; ms < 40000; ms += 50) {
    budget.RecordCall({ ms });
    while (budget.TryAcquire({ ms })) {
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

TEST(retry_budget, BudgetIsRestoredAfterTheWindow)
{
  retry_budget budget(limits);
  const std::size_t first = TakeAll(budget, { 0 });
  CHECK(first > 0);
  UNSIGNED_LONGS_EQUAL(0, TakeAll(budget, { 9000 }));
  UNSIGNED_LONGS_EQUAL(first, TakeAll(budget, { 11000 }));
}
