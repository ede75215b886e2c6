#include "poison/promptparttable.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::poison;

namespace {

constexpr time_point kNow{ 1000000 };
constexpr std::uint64_t kPoison = 666;
constexpr std::uint64_t kSound = 7;

} // namespace

// clang-format off
TEST_GROUP(prompt_part_table)
{
  prompt_part_table table;

  static peers::crash_message Crash(std::uint64_t aPart, std::uint64_t aCrash, duration aAge = {})
  {
    return { aPart, aCrash, kEarlyCrashWeight, false, false, aAge };
  }
  suspicion_changes Add(std::uint64_t aPart, std::uint64_t aCrash, time_point aNow = kNow)
  {
    return table.AddCrash(Crash(aPart, aCrash), aNow);
  }
  void AddThree(std::uint64_t aPart, std::uint64_t aFirstCrash, time_point aNow = kNow)
  {
    for (std::uint64_t crash = aFirstCrash; crash < aFirstCrash + 3; ++crash) {
      Add(aPart, crash, aNow);
    }
  }
  bool Refused(std::uint64_t aPart, time_point aNow = kNow) const
  {
    return table.Check(aPart, aNow).verdict == poison_verdict::quarantined;
  }
};
// clang-format on

TEST(prompt_part_table, ThirdCrashQuarantinesForALimitedTime)
{
  Add(kPoison, 1);
  Add(kPoison, 2);
  CHECK_FALSE(Refused(kPoison));
  const auto changes = Add(kPoison, 3);
  CHECK_EQUAL(1, changes.quarantines.size());
  const poison_check check = table.Check(kPoison, kNow + 100_s);
  CHECK(check.verdict == poison_verdict::quarantined);
  CHECK(check.remaining == kQuarantineLifetime - 100_s);
  CHECK(check.fingerprint == kPoison);
  CHECK_FALSE(Refused(kPoison, kNow + kQuarantineLifetime));
}

// Guards against an upstream with many calls that counts as many crashes.
TEST(prompt_part_table, OneCrashCountsOnce)
{
  for (int call = 0; call < 17; ++call) {
    Add(kPoison, 1);
  }
  CHECK_FALSE(Refused(kPoison));
}

TEST(prompt_part_table, OneMoreCrashRenewsAnExpiredQuarantine)
{
  AddThree(kPoison, 1);
  const time_point later = kNow + kQuarantineLifetime;
  Add(kPoison, 4, later);
  CHECK(Refused(kPoison, later + QuarantineLifetime(2) - 1_ms));
}

// Guards against a sound part that is refused since it stood in requests that harmful ones ended.
TEST(prompt_part_table, CrashesOfAPartWithMoreOfThemDoNotCountAgainstOthers)
{
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    Add(kSound, crash);
  }
  CHECK(Refused(kSound));
  for (std::uint64_t crash = 1; crash <= 4; ++crash) {
    Add(kPoison, crash);
  }
  CHECK(Refused(kPoison));
  CHECK_FALSE(Refused(kSound));
  CHECK(table.IsExplained(2));
  CHECK_EQUAL(1, table.Count(kNow).quarantined);
  CHECK_EQUAL(1, table.LastingEntries(kNow).quarantines.size());
}

// Guards against a sound part that stays refused, and hides a harmful one that ends its upstreams
// before the response begins: each of its crashes weighs less than those of the responses that had
// just begun there.
TEST(prompt_part_table, PartWithMoreCrashesExplainsThoseThatWeighMore)
{
  const auto add = [this](std::uint64_t aPart, std::uint64_t aCrash, std::uint32_t aWeight) {
    table.AddCrash({ aPart, aCrash, aWeight, false, false, {} }, kNow);
  };
  for (std::uint64_t crash = 1; crash <= 4; ++crash) {
    add(kPoison, crash, kLateCrashWeight);
    add(kSound, crash, kEarlyCrashWeight);
  }
  CHECK(Refused(kSound));
  for (std::uint64_t crash = 5; crash <= 6; ++crash) {
    add(kPoison, crash, kLateCrashWeight);
  }
  CHECK(Refused(kPoison));
  CHECK_FALSE(Refused(kSound));
}

TEST(prompt_part_table, PartIsRefusedAgainWhenWhatExplainedItProvesSound)
{
  for (std::uint64_t crash = 1; crash <= 4; ++crash) {
    Add(kSound, crash);
  }
  AddThree(kPoison, 1);
  CHECK(Refused(kSound));
  CHECK_FALSE(Refused(kPoison));
  table.RecordSound(kSound, kNow, kNow + 300_ms);
  CHECK_FALSE(Refused(kSound, kNow + 300_ms));
  CHECK(Refused(kPoison, kNow + 300_ms));
}

TEST(prompt_part_table, PartsThatAlwaysComeTogetherAreAllRefused)
{
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    Add(kPoison, crash);
    Add(kPoison + 1, crash);
  }
  CHECK(Refused(kPoison));
  CHECK(Refused(kPoison + 1));
}

TEST(prompt_part_table, TwoHarmfulPartsAreBothRefused)
{
  AddThree(kPoison, 1);
  AddThree(kPoison + 1, 4);
  CHECK(Refused(kPoison));
  CHECK(Refused(kPoison + 1));
}

TEST(prompt_part_table, SoundResponseTakesBackCrashesAndQuarantine)
{
  AddThree(kSound, 1);
  const auto changes = table.RecordSound(kSound, kNow - kSoundMargin, kNow + 100_ms);
  CHECK_EQUAL(3, changes.crashes.size());
  CHECK(changes.crashes[0].withdrawn);
  CHECK_EQUAL(1, changes.quarantines.size());
  CHECK(changes.quarantines[0].lifted);
  CHECK_FALSE(Refused(kSound));
}

// Guards against a verdict that stays for ten minutes though nothing speaks for it any more: the
// crashes were counted some time after they happened, so that the quarantine is later than the
// sound response that refutes them.
TEST(prompt_part_table, QuarantineEndsWithTheCrashesThatItRestsOn)
{
  const time_point verdict = kNow + 2_s;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    table.AddCrash(Crash(kSound, crash, 2_s), verdict);
  }
  CHECK(Refused(kSound, verdict));
  const auto changes = table.RecordSound(kSound, kNow, verdict + 100_ms);
  CHECK_EQUAL(3, changes.crashes.size());
  CHECK_EQUAL(1, changes.quarantines.size());
  CHECK(changes.quarantines[0].lifted);
  CHECK_FALSE(Refused(kSound, verdict + 100_ms));
}

// Guards against the same verdict at a process that hears of the withdrawals alone.
TEST(prompt_part_table, QuarantineEndsWhenItsCrashesAreWithdrawnElsewhere)
{
  AddThree(kSound, 1);
  AddThree(kPoison, 11);
  Add(kPoison, 14);
  for (const auto& [part, crash] : { std::pair{ kSound, 1 }, std::pair{ kPoison, 11 } }) {
    peers::crash_message withdrawn = Crash(part, static_cast<std::uint64_t>(crash));
    withdrawn.withdrawn = true;
    const auto changes = table.Apply(withdrawn, kNow + 1_s);
    CHECK_EQUAL(part == kSound ? 1 : 0, changes.quarantines.size());
  }
  CHECK_FALSE(Refused(kSound, kNow + 1_s));
  CHECK(Refused(kPoison, kNow + 1_s));
}

// Guards against a part that was sound for long, turned harmful, and is not refused since responses
// that began before still end well.
TEST(prompt_part_table, SoundResponseThatBeganLongBeforeTakesNothingBack)
{
  AddThree(kPoison, 1);
  CHECK(table.RecordSound(kPoison, kNow - kSoundMargin - 1_ms, kNow + 1_s).Empty());
  CHECK(Refused(kPoison));
  CHECK_FALSE(table.IsVoid(kPoison, kNow, kNow));
  CHECK(table.IsVoid(kPoison, kNow - 1_ms, kNow));
}

TEST(prompt_part_table, NewsOfOthersAddUp)
{
  prompt_part_table other;
  for (std::uint64_t crash = 1; crash <= 2; ++crash) {
    CHECK(table.Apply(Crash(kPoison, crash, 1_s), kNow).Empty());
  }
  const auto changes = table.Apply(Crash(kPoison, 3), kNow);
  CHECK_EQUAL(1, changes.quarantines.size());
  other.Apply(changes.quarantines[0], kNow);
  CHECK(other.Check(kPoison, kNow).verdict == poison_verdict::quarantined);
}

// Guards against a wrong verdict of a process that saw no sound response with the part.
TEST(prompt_part_table, NewsThatASoundResponseRefutesAreAnswered)
{
  table.RecordSound(kSound, kNow, kNow + 300_ms);
  const auto crash = table.Apply(Crash(kSound, 1, 100_ms), kNow + 400_ms);
  CHECK_EQUAL(1, crash.crashes.size());
  CHECK(crash.crashes[0].withdrawn);
  const auto quarantine =
    table.Apply(peers::quarantine_message{ kSound, 1, false, 100_ms }, kNow + 400_ms);
  CHECK_EQUAL(1, quarantine.quarantines.size());
  CHECK(quarantine.quarantines[0].lifted);
  CHECK_FALSE(Refused(kSound, kNow + 400_ms));
  prompt_part_table other;
  other.Apply(peers::quarantine_message{ kSound, 1, false, {} }, kNow);
  other.Apply(quarantine.quarantines[0], kNow + 1_s);
  CHECK(other.Check(kSound, kNow + 1_s).verdict == poison_verdict::clear);
}

TEST(prompt_part_table, WithdrawnNewsDoNotCount)
{
  peers::crash_message withdrawn = Crash(kSound, 1);
  withdrawn.withdrawn = true;
  table.Apply(withdrawn, kNow);
  AddThree(kSound, 1);
  CHECK_FALSE(Refused(kSound));
}

TEST(prompt_part_table, EntriesAreBoundedAndSuspectsAreEvictedBeforeQuarantined)
{
  AddThree(kPoison, 1);
  for (std::uint64_t part = 1000; part < 1000 + 2 * kMaxSuspectParts; ++part) {
    Add(part, part);
  }
  CHECK_EQUAL(kMaxSuspectParts, table.Count(kNow).suspects);
  CHECK(Refused(kPoison));
  table.Prune(kNow + kQuarantineLifetime + kQuarantineMemory);
  CHECK(table.LastingEntries(kNow).Empty());
}

TEST(prompt_part_table, NewestQuarantinesLast)
{
  for (std::uint64_t part = 1; part <= 2 * kMaxLastingParts; ++part) {
    AddThree(part, 100 * part, kNow + 1_s * static_cast<std::int64_t>(part));
  }
  const auto lasting = table.LastingEntries(kNow + 200_s);
  CHECK_EQUAL(kMaxLastingParts, lasting.quarantines.size());
  CHECK_EQUAL(2 * kMaxLastingParts, lasting.quarantines[0].fingerprint);
}
