#include "poison/suspiciontable.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>

using namespace persimmon;
using namespace persimmon::poison;

namespace {

constexpr time_point kStart{ 1000000 };
constexpr std::uint64_t kRequest = 7;

peers::crash_message
Crash(std::uint64_t aId, std::uint32_t aWeight = kEarlyCrashWeight, duration aAge = {})
{
  return { kRequest, aId, aWeight, true, false, aAge };
}

} // namespace

// clang-format off
TEST_GROUP(suspicion_table)
{
  suspicion_table table;

  poison_verdict Verdict(time_point aNow) { return table.Check(kRequest, aNow).verdict; }
};
// clang-format on

// Guards against crashes that different routers saw at about the same time and that count as one.
TEST(suspicion_table, CrashesSeenByDifferentRoutersAddUpInAnyOrder)
{
  std::array<peers::crash_message, 3> crashes{ Crash(1), Crash(2), Crash(3) };
  std::sort(crashes.begin(), crashes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.crash < aRight.crash;
  });
  do {
    suspicion_table merged;
    std::size_t quarantines = 0;
    for (const auto& crash : crashes) {
      quarantines += merged.Apply(crash, kStart).quarantines.size();
      quarantines += merged.Apply(crash, kStart).quarantines.size();
    }
    CHECK_EQUAL(1, quarantines);
    CHECK(merged.Check(kRequest, kStart).verdict == poison_verdict::quarantined);
  } while (std::next_permutation(
    crashes.begin(), crashes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.crash < aRight.crash;
    }));
}

TEST(suspicion_table, CrashReportedTwiceCountsOnce)
{
  for (int i = 0; i < 5; ++i) {
    table.AddCrash(Crash(1), kStart);
  }
  CHECK_EQUAL(kEarlyCrashWeight, table.Weight(kRequest, kStart));
}

TEST(suspicion_table, LateCrashesQuarantineOnlyWhenTheyAreMany)
{
  for (std::uint64_t crash = 1; crash <= 5; ++crash) {
    table.AddCrash(Crash(crash, kLateCrashWeight), kStart);
  }
  CHECK(Verdict(kStart) == poison_verdict::isolate);
  table.AddCrash(Crash(6, kLateCrashWeight), kStart);
  CHECK(Verdict(kStart) == poison_verdict::quarantined);
}

TEST(suspicion_table, CrashesExpire)
{
  table.AddCrash(Crash(1), kStart);
  table.AddCrash(Crash(2), kStart);
  CHECK_EQUAL(0, table.Weight(kRequest, kStart + kSuspectLifetime));
  table.Apply(Crash(4, kEarlyCrashWeight, kSuspectLifetime), kStart + kSuspectLifetime);
  CHECK_EQUAL(0, table.Weight(kRequest, kStart + kSuspectLifetime));
  table.AddCrash(Crash(3), kStart + kSuspectLifetime);
  CHECK(Verdict(kStart + kSuspectLifetime) == poison_verdict::isolate);
}

// Guards against a withdrawal that is lost because the crash itself arrives after it.
TEST(suspicion_table, WithdrawnCrashDoesNotCountWhicheverArrivesFirst)
{
  peers::crash_message withdrawn = Crash(1);
  withdrawn.withdrawn = true;
  table.Apply(withdrawn, kStart);
  table.Apply(Crash(1), kStart);
  CHECK_EQUAL(0, table.Weight(kRequest, kStart));
  table.Apply(Crash(2), kStart);
  CHECK_EQUAL(kEarlyCrashWeight, table.Weight(kRequest, kStart));
}

TEST(suspicion_table, CompletedRunEndsTheQuarantineEverywhere)
{
  suspicion_table other;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    table.AddCrash(Crash(crash), kStart);
    other.Apply(Crash(crash), kStart);
  }
  CHECK(Verdict(kStart) == poison_verdict::quarantined);
  const suspicion_changes changes = table.Clear(kRequest, kStart + 1_s);
  CHECK_EQUAL(3, changes.crashes.size());
  CHECK_EQUAL(1, changes.quarantines.size());
  for (const auto& quarantine : changes.quarantines) {
    other.Apply(quarantine, kStart + 1_s);
  }
  for (const auto& crash : changes.crashes) {
    other.Apply(crash, kStart + 1_s);
  }
  CHECK(Verdict(kStart + 1_s) == poison_verdict::clear);
  CHECK(other.Check(kRequest, kStart + 1_s).verdict == poison_verdict::clear);
  CHECK_EQUAL(0, table.Clear(kRequest, kStart + 2_s).crashes.size());
}

// Guards against a request that is tried again and again whenever its quarantine expires.
TEST(suspicion_table, OneCrashAfterAQuarantineRenewsItForLonger)
{
  table.Quarantine(kRequest, kStart);
  const time_point end = kStart + kQuarantineLifetime;
  CHECK(Verdict(end) == poison_verdict::clear);
  CHECK(table.WasQuarantined(kRequest, end));
  const auto changes = table.AddCrash(Crash(9), end);
  CHECK_EQUAL(2, changes.quarantines.at(0).count);
  const poison_check check = table.Check(kRequest, end);
  CHECK(check.verdict == poison_verdict::quarantined);
  CHECK(check.remaining == kQuarantineLifetime * kQuarantineGrowth);
  CHECK(QuarantineLifetime(50) == kMaxQuarantineLifetime);
}

TEST(suspicion_table, LaterQuarantineOfAnotherRouterReplacesAnEarlierOne)
{
  table.Apply({ kRequest, 2, false, 10_s }, kStart);
  table.Apply({ kRequest, 1, true, 5_s }, kStart);
  CHECK(Verdict(kStart) == poison_verdict::quarantined);
  CHECK(table.Check(kRequest, kStart).remaining == QuarantineLifetime(2) - 10_s);
  table.Apply({ kRequest, 2, true, 11_s }, kStart);
  CHECK(Verdict(kStart) == poison_verdict::clear);
}

// Guards against a good request that is quarantined again, since the end of its quarantine arrives
// before the withdrawals of its crashes.
TEST(suspicion_table, LiftedQuarantineWithdrawsTheCrashesThatCausedIt)
{
  for (std::uint64_t crash = 1; crash <= 5; ++crash) {
    table.Apply(Crash(crash), kStart);
  }
  CHECK(Verdict(kStart) == poison_verdict::quarantined);
  table.Apply(peers::quarantine_message{ kRequest, 1, true, {} }, kStart);
  peers::crash_message withdrawn = Crash(1);
  withdrawn.withdrawn = true;
  CHECK(table.Apply(withdrawn, kStart).Empty());
  CHECK(table.Apply(Crash(6), kStart).Empty());
  CHECK(Verdict(kStart) == poison_verdict::isolate);
}
