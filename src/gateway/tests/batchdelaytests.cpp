#include "gateway/batchdelay.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(batch_delay)
{
};
// clang-format on

TEST(batch_delay, DelayIsShortWithFewGateways)
{
  LONGLONGS_EQUAL(150, BatchDelay(1, 2_s).ms);
  CHECK(BatchDelay(9, 2_s) <= 500_ms);
}

TEST(batch_delay, TotalCallRateGrowsLittleWithTheNumberOfGateways)
{
  const auto callsPerSecond = [](std::size_t aGatewayCount) {
    const duration delay = BatchDelay(aGatewayCount, 3_s);
    return static_cast<double>(aGatewayCount) * 1000 / static_cast<double>(delay.ms);
  };
  CHECK(callsPerSecond(45) < callsPerSecond(9) * 1.1);
  // With the delay at its maximum, the total rate grows with the number of gateways, but stays
  // below the platform's read rate limit.
  CHECK(callsPerSecond(1200) < 1000);
}

TEST(batch_delay, DelayStaysWithinTheLeaveNoticeForAnyNumberOfGateways)
{
  CHECK(BatchDelay(1200, 2_s) <= 1500_ms);
  CHECK(BatchDelay(1200, 3_s) <= 2500_ms);
  LONGLONGS_EQUAL(150, BatchDelay(1200, 100_ms).ms);
}
