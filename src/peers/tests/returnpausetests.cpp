#include "peers/returnpause.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace persimmon;
using namespace persimmon::peers;

// clang-format off
TEST_GROUP(return_pause)
{
};
// clang-format on

TEST(return_pause, DelayStaysWithinDoublingBound)
{
  random_source random(1);
  return_pause pause;
  duration bound = return_pause::kFirst;
  for (int i = 0; i < 20; ++i) {
    const duration wait = pause.Failed(random);
    CHECK(wait > duration{} && wait <= bound);
    bound = std::min(bound * 2, return_pause::kLongest);
  }
  pause.Succeeded();
  CHECK(pause.Failed(random) <= return_pause::kFirst);
}

TEST(return_pause, DelaysOf110ProcessesAreSpreadOverBound)
{
  constexpr std::int64_t kProcesses = 110;
  constexpr std::int64_t kSlots = 10;
  std::vector<std::int64_t> perSlot(kSlots);
  for (std::uint64_t seed = 1; seed <= std::uint64_t{ kProcesses }; ++seed) {
    random_source random(seed);
    return_pause pause;
    duration last;
    for (int i = 0; i < 8; ++i) {
      last = pause.Failed(random);
    }
    ++perSlot[static_cast<std::size_t>((last.ms - 1) * kSlots / return_pause::kLongest.ms)];
  }
  CHECK(*std::max_element(perSlot.begin(), perSlot.end()) <= 3 * kProcesses / kSlots);
}
