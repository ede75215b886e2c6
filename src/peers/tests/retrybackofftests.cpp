#include "peers/retrybackoff.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace persimmon;
using namespace persimmon::peers;

// clang-format off
TEST_GROUP(retry_backoff)
{
};
// clang-format on

TEST(retry_backoff, DelayStaysWithinDoublingBound)
{
  random_source random(1);
  retry_backoff backoff;
  duration bound = retry_backoff::kInitialBound;
  for (int i = 0; i < 20; ++i) {
    const duration wait = backoff.OnFailure(random);
    CHECK(wait > duration{} && wait <= bound);
    bound = std::min(bound * 2, retry_backoff::kMaxBound);
  }
  backoff.OnSuccess();
  CHECK(backoff.OnFailure(random) <= retry_backoff::kInitialBound);
}

TEST(retry_backoff, DelaysOf110ProcessesAreSpreadOverBound)
{
  constexpr std::int64_t kProcesses = 110;
  constexpr std::int64_t kSlots = 10;
  std::vector<std::int64_t> perSlot(kSlots);
  for (std::uint64_t seed = 1; seed <= std::uint64_t{ kProcesses }; ++seed) {
    random_source random(seed);
    retry_backoff backoff;
    duration last;
    for (int i = 0; i < 8; ++i) {
      last = backoff.OnFailure(random);
    }
    ++perSlot[static_cast<std::size_t>((last.ms - 1) * kSlots / retry_backoff::kMaxBound.ms)];
  }
  CHECK(*std::max_element(perSlot.begin(), perSlot.end()) <= 3 * kProcesses / kSlots);
}
