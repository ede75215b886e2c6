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

constexpr time_point kStartedLongAgo{ -60000 };

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
    retry_budget budget(limits, kStartedLongAgo);
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
  retry_budget budget(limits, kStartedLongAgo);
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
  retry_budget budget(limits, kStartedLongAgo);
  const std::size_t first = TakeAll(budget, { 0 });
  CHECK(first > 0);
  UNSIGNED_LONGS_EQUAL(0, TakeAll(budget, { 9000 }));
  UNSIGNED_LONGS_EQUAL(first, TakeAll(budget, { 11000 }));
}

// Guards against routers that start together, do not know each other yet, and each take the whole
// slack for their own.
TEST(retry_budget, RoutersThatStartTogetherTakeNoSlack)
{
  std::size_t taken = 0;
  for (std::size_t i = 0; i < 9; ++i) {
    retry_budget budget(limits, { 0 });
    budget.SetRouterCount(std::nullopt);
    for (int call = 0; call < 10; ++call) {
      budget.RecordCall({ 500 });
    }
    taken += TakeAll(budget, { 600 });
  }
  CHECK(taken <= 0.2 * 90 + 10);
  CHECK(taken > 0);
}

// Guards against a router that restarts and takes its part of the slack twice in one window.
TEST(retry_budget, RestartStaysWithinTheSlackOfTheWindow)
{
  retry_budget former(limits, { -20000 });
  retry_budget restarted(limits, { 1000 });
  const std::size_t taken = TakeAll(former, { 0 }) + TakeAll(restarted, { 2000 });
  CHECK(taken > 0);
  CHECK(taken <= 10);
  CHECK(TakeAll(restarted, { 11000 }) > 0);
}
