#include "poison/parttrials.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::poison;

namespace {

constexpr time_point kNow{ 1000000 };
constexpr std::uint64_t kPart = 7;

} // namespace

// clang-format off
TEST_GROUP(part_trials)
{
  part_trials trials;
  time_point due = kNow + kFirstTrialDelay;

  void setup() override { CHECK_FALSE(trials.Admits(kPart, 1, true, kNow)); }
};
// clang-format on

TEST(part_trials, OneRequestIsTriedAfterADelay)
{
  CHECK_FALSE(trials.Admits(kPart, 1, true, due - 1_ms));
  CHECK(trials.Admits(kPart, 1, true, due));
  CHECK_FALSE(trials.Admits(kPart, 2, true, due));
  trials.OnDispatch(kPart, 1, due);
  CHECK_FALSE(trials.Admits(kPart, 2, true, due + 600_s));
  CHECK(trials.Admits(kPart, 1, true, due + 600_s));
}

// Guards against a trial that is lost and sent to a second upstream.
TEST(part_trials, LostRequestIsNotTriedAgain)
{
  CHECK(trials.Admits(kPart, 1, true, due));
  trials.OnDispatch(kPart, 1, due);
  trials.OnEnd(kPart, 1);
  CHECK_FALSE(trials.Admits(kPart, 1, true, due));
}

// Guards against trials that come as often as a harmful part's requests.
TEST(part_trials, PausesBetweenTrialsGrow)
{
  duration pause = kFirstTrialDelay;
  for (std::uint64_t request = 1; request < 5; ++request) {
    CHECK_FALSE(trials.Admits(kPart, request, true, due - 1_ms));
    CHECK(trials.Admits(kPart, request, true, due));
    trials.OnDispatch(kPart, request, due);
    trials.OnEnd(kPart, request);
    pause = pause * kTrialDelayGrowth;
    due = due + pause;
  }
}

// Guards against a request that may be tried, finds no upstream, and keeps all others from it.
TEST(part_trials, RequestThatIsNotSentLeavesTheTrialToAnother)
{
  CHECK(trials.Admits(kPart, 1, true, due));
  CHECK_FALSE(trials.Admits(kPart, 2, true, due + kTrialGrant - 1_ms));
  CHECK(trials.Admits(kPart, 2, true, due + kTrialGrant));
  trials.OnDispatch(kPart, 1, due + kTrialGrant);
  CHECK(trials.Admits(kPart, 2, true, due + kTrialGrant));
}

TEST(part_trials, SoundPartStartsAnew)
{
  CHECK(trials.Admits(kPart, 1, true, due));
  trials.OnSound(kPart);
  CHECK_FALSE(trials.Admits(kPart, 1, true, due));
  CHECK(trials.Admits(kPart, 1, true, due + kFirstTrialDelay));
}

TEST(part_trials, TrialsAreBounded)
{
  for (std::uint64_t part = 100; part < 100 + 2 * kMaxTriedParts; ++part) {
    trials.Admits(part, 1, true, kNow);
  }
  CHECK_FALSE(trials.Admits(100 + 2 * kMaxTriedParts, 1, true, due));
  CHECK_FALSE(trials.Admits(100 + 2 * kMaxTriedParts, 1, true, due + kFirstTrialDelay));
  trials.Prune(due + kTrialMemory);
  CHECK_FALSE(trials.Admits(100, 1, true, due + kTrialMemory));
}

// Guards against a sound part that is only tried together with a harmful one.
TEST(part_trials, RequestsWithOnePartInQuarantineComeFirst)
{
  CHECK_FALSE(trials.Admits(kPart, 1, false, due + kAloneTime - 1_ms));
  CHECK(trials.Admits(kPart, 2, true, due + kAloneTime - 1_ms));
  CHECK(trials.Admits(kPart, 3, false, due + kAloneTime - 1_ms + kTrialGrant));
}
