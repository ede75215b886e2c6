#include "dispatch/ratelimitplan.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::dispatch;

namespace {

constexpr std::size_t kFleetSizes[] = { 1, 2, 9, 68, 85, 300 };
constexpr std::uint64_t kMilliLimits[] = { 0, 1, 200, 500, 1900, 2300, 10500, 100000 };

} // namespace

TEST_GROUP(rate_limit_plan){};

// Guards against shares that exceed the limit by their accumulated permits, whatever the number of
// routers: what all holders may send in four seconds stays below what the users' rule allows.
TEST(rate_limit_plan, AllSharesTogetherStayBelowTheUsersBound)
{
  for (const std::size_t routers : kFleetSizes) {
    for (const std::uint64_t milli : kMilliLimits) {
      const request_rate limit{ milli };
      const rate_limit_plan plan = PlanRateLimit(limit, routers);
      const double most = static_cast<double>(plan.holders) *
                          (plan.share.maxPermits + 4 * plan.share.permitsPerSecond);
      CHECK(most <= 1.5 * limit.PerSecond() * 4 + 5);
      CHECK(plan.holders >= 1 && plan.holders <= routers);
      CHECK(plan.share.maxPermits >= 1);
    }
  }
}

TEST(rate_limit_plan, AsManyRoutersHoldSharesAsPlannedInEachTurn)
{
  for (const std::size_t routers : kFleetSizes) {
    const rate_limit_plan plan = PlanRateLimit({ 1900 }, routers);
    for (std::int64_t turn = 0; turn < 10; ++turn) {
      std::size_t holders = 0;
      for (std::size_t rank = 0; rank < routers; ++rank) {
        holders += HoldsShare(plan, rank, routers, plan.turn * turn) ? 1 : 0;
      }
      UNSIGNED_LONGS_EQUAL(plan.holders, holders);
    }
  }
}

// Guards against a limit whose end nobody learns of, since the routers with a share have no calls.
TEST(rate_limit_plan, EachRouterHasItsTurnWhileTheUpstreamIsSilent)
{
  const std::size_t routers = 68;
  const rate_limit_plan plan = PlanRateLimit({ 1900 }, routers);
  for (std::size_t rank = 0; rank < routers; ++rank) {
    bool held = false;
    for (std::int64_t turn = 0; turn < 68; ++turn) {
      held = held || HoldsShare(plan, rank, routers, plan.turn * turn);
    }
    CHECK(held);
  }
}
