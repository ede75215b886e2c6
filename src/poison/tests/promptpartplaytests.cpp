#include "poison/tests/mocks/promptpartplay.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <rapidcheck.h>

using namespace persimmon;
using namespace persimmon::poison;

namespace {

/// The users' rule: at most so many arrivals later than 3 s after the fifth crash.
constexpr std::size_t kMaxLaterArrivals = 3;
/// Part of the sound requests that must be sent as before.
constexpr double kMinSoundShare = 0.9;
/// Most news in one second, of 40 bytes or so each: the links of a process carry 64 KB at once.
constexpr std::size_t kMaxNewsInASecond = 400;
/// Plays of each kind.
constexpr std::uint64_t kSeeds = 5;
/// Longest time for which a process may refuse a sound part: until its news reach a process with a
/// sound response, and the answer comes back, at 1.5 s each.
constexpr duration kMaxWrongVerdict = 3300_ms;

std::string
Describe(const part_play_setup& aSetup, const part_play_result& aResult)
{
  return fmt::format("{} processes, {}/s, poison in {} (parts {}): {} crashes, {} later arrivals, "
                     "sound {:.3f} of before, {} sound refused, longest wrong verdict {} ms, {} "
                     "news, at most {} a second",
                     aSetup.processes,
                     aSetup.requestsPerSecond,
                     aSetup.poisonShare,
                     aSetup.poisonParts,
                     aResult.crashes,
                     aResult.laterArrivals,
                     aResult.SoundShare(),
                     aResult.soundRefused,
                     aResult.longestWrongVerdict.ms,
                     aResult.news,
                     aResult.mostNewsInASecond);
}

} // namespace

// clang-format off
TEST_GROUP(prompt_part_play)
{
  part_play_setup setup;
  duration maxWrongVerdict = kMaxWrongVerdict;
  std::size_t maxLaterArrivals = kMaxLaterArrivals;
  std::size_t leastCrashes = 3;

  void Check(std::uint64_t aSeed) const
  {
    const part_play_result result = prompt_part_play(setup, aSeed).Run();
    const bool good = result.crashes >= leastCrashes && result.laterArrivals <= maxLaterArrivals &&
                      result.SoundShare() >= kMinSoundShare &&
                      result.longestWrongVerdict <= maxWrongVerdict &&
                      result.mostNewsInASecond <= kMaxNewsInASecond;
    if (!good) {
      FAIL(fmt::format("seed {}: {}", aSeed, Describe(setup, result)).c_str());
    }
  }
  void CheckShares()
  {
    for (const double share : { 0.03, 0.1, 0.3 }) {
      setup.poisonShare = share;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Check(seed);
      }
    }
  }
};
// clang-format on

// Guards against requests that all differ, but have a part in common that crashes each upstream
// which begins to respond to it: nothing known of requests holds them back.
TEST(prompt_part_play, PoisonPartIsRefusedInTimeAndPopularOnesAreNot)
{
  CheckShares();
}

// The same with a single process, which hears from none.
TEST(prompt_part_play, PoisonPartIsRefusedInTimeAtOneProcess)
{
  setup.processes = 1;
  maxWrongVerdict = {};
  CheckShares();
}

// The same where each process sees few of the crashes and few of the sound responses.
TEST(prompt_part_play, PoisonPartIsRefusedInTimeAtManyProcesses)
{
  for (const std::size_t processes : { 68, 300 }) {
    setup.processes = processes;
    CheckShares();
  }
}

// The same with traffic that grows with the number of processes.
TEST(prompt_part_play, PoisonPartIsRefusedInTimeAtManyProcessesWithMuchTraffic)
{
  setup.processes = 68;
  setup.requestsPerSecond = 900;
  setup.upstreams = 180;
  setup.end = 24_s;
  CheckShares();
}

TEST(prompt_part_play, TwoPoisonPartsAtOnceAreRefusedInTime)
{
  setup.poisonParts = 2;
  CheckShares();
}

// Guards against requests with many parts of their own, such as the former turns of a conversation,
// whose news leave no room for those of a harmful part.
TEST(prompt_part_play, PoisonPartAmongManyOthersIsRefusedInTime)
{
  setup.madeUpParts = 30;
  for (const std::size_t processes : { 9, 68 }) {
    setup.processes = processes;
    CheckShares();
  }
}

// Guards against two parts that crash upstreams before the response begins, where few upstreams are
// left for sound responses: the crashes of responses that had just begun weigh more.
TEST(prompt_part_play, TwoPoisonPartsThatCrashBeforeTheResponseAtFewUpstreams)
{
  setup.poisonParts = 2;
  setup.crashesBeforeHead = true;
  setup.processes = 3;
  setup.requestsPerSecond = 50;
  setup.upstreams = 8;
  setup.restart = 1500_ms;
  setup.rareShare = 1;
  setup.rareParts = 5;
  setup.newsAlwaysLate = false;
  setup.longestNews = 200_ms;
  for (const double share : { 0.1, 0.2 }) {
    setup.poisonShare = share;
    for (std::uint64_t seed = 1; seed <= 4 * kSeeds; ++seed) {
      Check(seed);
    }
  }
}

// Guards against processes that each need crashes of their own: the store carries verdicts alone.
TEST(prompt_part_play, PoisonPartIsRefusedInTimeWithTheStoreAlone)
{
  setup.tellsCrashes = false;
  CheckShares();
}

// Guards against sound parts that are taken for harmful ones while upstreams die for other causes.
TEST(prompt_part_play, PoisonPartIsRefusedInTimeWhileUpstreamsDieForOtherCauses)
{
  setup.otherDeaths = 3_s;
  setup.upstreams = 30;
  CheckShares();
}

// Guards against upstreams that fall silent when they crash and come back as others: nothing proves
// the crash.
TEST(prompt_part_play, PoisonPartIsRefusedInTimeWhenCrashesAreSilent)
{
  setup.crashesAreSilent = true;
  for (const std::size_t processes : { 1, 9, 68, 300 }) {
    setup.processes = processes;
    CheckShares();
  }
}

// Guards against a sound upstream that is silent beside crashing ones and gets sound parts refused.
TEST(prompt_part_play, SilentSoundUpstreamsBesideSilentCrashesGetNoSoundPartRefusedForLong)
{
  setup.crashesAreSilent = true;
  setup.soundSilences = 700_ms;
  setup.upstreams = 30;
  for (const std::size_t processes : { 1, 9, 68 }) {
    setup.processes = processes;
    maxWrongVerdict = processes == 1 ? duration{} : kMaxWrongVerdict;
    CheckShares();
  }
}

// Guards against a silence of all upstreams at once that is taken for crashes by sound parts.
TEST(prompt_part_play, SilenceOfAllUpstreamsGetsNoSoundPartRefusedForLong)
{
  setup.poisonShare = 0;
  leastCrashes = 0;
  for (const duration silence : { 700_ms, 1500_ms, 3000_ms }) {
    setup.allSilentTime = silence;
    setup.soundFrom = setup.allSilentFrom + silence + kMaxWrongVerdict;
    maxWrongVerdict = kMaxWrongVerdict;
    for (const std::size_t processes : { 1, 9, 68, 300 }) {
      setup.processes = processes;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Check(seed);
      }
    }
  }
}

// Guards against one process that alone reaches no upstream, and tells all others that these crash
// by the parts of its calls.
TEST(prompt_part_play, CutOffProcessGetsNoSoundPartRefusedForLong)
{
  setup.poisonShare = 0;
  leastCrashes = 0;
  for (const duration cutOff : { 700_ms, 1500_ms, 3000_ms, 8000_ms }) {
    setup.cutOffTime = cutOff;
    setup.soundFrom = setup.cutOffFrom + cutOff + kMaxWrongVerdict;
    for (const std::size_t processes : { 3, 9, 68, 300 }) {
      setup.processes = processes;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Check(seed);
      }
    }
  }
}

// Guards against sound parts that stay refused after an outage in which each request crashed its
// upstream, whatever it was: once all with a part are refused, none can prove it sound.
TEST(prompt_part_play, SoundPartsAreServedAgainAfterAnOutage)
{
  setup.poisonShare = 0;
  setup.outageTime = 4_s;
  setup.outageFrom = time_point{ 60000 };
  setup.soundFrom = time_point{ 110000 };
  setup.end = 150_s;
  for (const std::size_t processes : { 1, 9, 68 }) {
    setup.processes = processes;
    // Of many processes, the one that tries requests with a rare part sees few of them.
    maxWrongVerdict = processes < 68 ? 30_s : setup.end;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Check(seed);
    }
  }
}

// Guards against sound parts that stay refused after a part that did no harm for long has turned
// harmful: its earlier responses hide it, and all upstreams fail before the verdict. The number of
// its arrivals is not bounded here.
TEST(prompt_part_play, SoundPartsAreServedAfterAnotherHasTurnedHarmful)
{
  setup.partsAreSoundBefore = true;
  setup.end = 100_s;
  maxLaterArrivals = std::numeric_limits<std::size_t>::max();
  maxWrongVerdict = 30_s;
  CheckShares();
}

// Guards against sound parts that are refused since upstreams die, whichever parts, numbers of
// processes, traffic and delays of news there are.
TEST(prompt_part_play, DeathsForOtherCausesGetNoSoundPartRefusedForLong)
{
  const bool passed = rc::check([] {
    part_play_setup setup;
    setup.poisonShare = 0;
    setup.processes = *rc::gen::element<std::size_t>(1, 2, 9, 30, 68);
    setup.requestsPerSecond = *rc::gen::inRange(20, 200);
    setup.upstreams = static_cast<std::size_t>(*rc::gen::inRange(12, 60));
    setup.rareParts = static_cast<std::size_t>(*rc::gen::inRange(1, 100));
    setup.rareShare = *rc::gen::inRange(0, 101) / 100.0;
    setup.otherDeaths = 10_ms * *rc::gen::inRange(30, 300);
    setup.restart = duration{ *rc::gen::inRange(500, 8000) };
    setup.newsAlwaysLate = *rc::gen::arbitrary<bool>();
    setup.end = 60_s;
    const part_play_result result =
      prompt_part_play(setup, *rc::gen::arbitrary<std::uint64_t>()).Run();
    RC_LOG() << Describe(setup, result);
    RC_ASSERT(result.longestWrongVerdict <= kMaxWrongVerdict);
  });
  CHECK(passed);
}

// Guards against sound parts that stay refused since sound upstreams were silent for a moment, one
// at a time or all at once, whichever parts, numbers of processes, traffic and delays of news there
// are.
TEST(prompt_part_play, SilencesGetNoSoundPartRefusedForLong)
{
  const bool passed = rc::check([] {
    part_play_setup setup;
    setup.poisonShare = 0;
    setup.processes = *rc::gen::element<std::size_t>(1, 9, 68, 300);
    setup.requestsPerSecond = *rc::gen::inRange(60, 200);
    setup.upstreams = static_cast<std::size_t>(*rc::gen::inRange(8, 30));
    setup.rareParts = static_cast<std::size_t>(*rc::gen::inRange(3, 30));
    setup.rareShare = *rc::gen::inRange(30, 101) / 100.0;
    setup.soundSilences = 10_ms * *rc::gen::inRange(20, 300);
    setup.silenceTime = 10_ms * *rc::gen::inRange(20, 300);
    setup.allSilentTime = 10_ms * *rc::gen::inRange(60, 300);
    setup.newsAlwaysLate = *rc::gen::arbitrary<bool>();
    setup.end = 40_s;
    const part_play_result result =
      prompt_part_play(setup, *rc::gen::arbitrary<std::uint64_t>()).Run();
    RC_LOG() << Describe(setup, result)
             << fmt::format(", silence each {} ms for {}, of all for {}",
                            setup.soundSilences.ms,
                            setup.silenceTime.ms,
                            setup.allSilentTime.ms);
    const duration longest = std::max(setup.silenceTime, setup.allSilentTime);
    RC_ASSERT(result.longestWrongVerdict <= longest + kMaxWrongVerdict);
  });
  CHECK(passed);
}
