#include "gateway/batchdelay.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(batch_delay)
{
};
// clang-format on

TEST(batch_delay, FewGatewaysHearOfChangesSoon)
{
  LONGLONGS_EQUAL(150, BatchDelay(1, 2_s).ms);
  CHECK(BatchDelay(9, 2_s) <= 500_ms);
}

TEST(batch_delay, CallsOfAllGatewaysGrowLittleWithTheirNumber)
{
  const auto callsPerSecond = [](std::size_t aGateways) {
    const duration batch = BatchDelay(aGateways, 3_s);
    return static_cast<double>(aGateways) * 1000 / static_cast<double>(batch.ms);
  };
  CHECK(callsPerSecond(45) < callsPerSecond(9) * 1.1);
  // Beyond the longest pause each gateway asks on its own, below the platform's rate of reads.
  CHECK(callsPerSecond(1200) < 1000);
}

TEST(batch_delay, LeavingInstancesAreSeenInTimeByAnyNumber)
{
  CHECK(BatchDelay(1200, 2_s) <= 1500_ms);
  CHECK(BatchDelay(1200, 3_s) <= 2500_ms);
  LONGLONGS_EQUAL(150, BatchDelay(1200, 100_ms).ms);
}
