#include "routing/poisontracker.h"

#include "base/hash.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace persimmon;
using namespace persimmon::routing;

namespace {

constexpr time_point kStart{ 1000000 };
constexpr std::uint64_t kPoison = 666;

} // namespace

// clang-format off
TEST_GROUP(poison_tracker)
{
  poison_tracker tracker;
  int attemptCount = 0;

  attempt_id Run(std::uint64_t aFingerprint, const char* aUpstream, time_point aNow)
  {
    attempt_id attempt{ fmt::format("a{}", attemptCount++) };
    tracker.RecordDispatch(attempt, aFingerprint, { aUpstream }, aNow);
    return attempt;
  }
  poison_verdict Verdict(std::uint64_t aFingerprint, time_point aNow)
  {
    return tracker.Check(aFingerprint, aNow).verdict;
  }
  void Quarantine(time_point aNow)
  {
    Run(kPoison, "u1", aNow);
    tracker.RecordDeath({ "u1" }, aNow);
    Run(kPoison, "u2", aNow);
    tracker.RecordDeath({ "u2" }, aNow);
  }
};
// clang-format on

TEST(poison_tracker, SecondDeathQuarantinesOnlyThePoisonRequest)
{
  Run(kPoison, "u1", kStart);
  for (std::uint64_t other = 1; other <= 30; ++other) {
    Run(other, "u1", kStart);
  }
  CHECK_EQUAL(31, tracker.RecordDeath({ "u1" }, kStart).size());
  for (std::uint64_t other = 1; other <= 30; ++other) {
    CHECK(Verdict(other, kStart) == poison_verdict::isolate);
    const attempt_id attempt = Run(other, fmt::format("v{}", other).c_str(), kStart + 1_s);
    const auto changes = tracker.RecordCompletion(attempt, kStart + 2_s);
    CHECK_EQUAL(1, changes.size());
    CHECK_EQUAL(0, changes[0].deaths);
    CHECK(Verdict(other, kStart + 2_s) == poison_verdict::clear);
  }
  Run(kPoison, "u2", kStart + 1_s);
  Run(99, "u2", kStart + 1_s);
  const auto changes = tracker.RecordDeath({ "u2" }, kStart + 2_s);
  CHECK_EQUAL(1, changes.size());
  CHECK(changes[0].quarantined);
  CHECK(Verdict(kPoison, kStart + 2_s) == poison_verdict::quarantined);
  CHECK(Verdict(99, kStart + 2_s) == poison_verdict::clear);
}

TEST(poison_tracker, UpstreamWithASuspectIsReturnedUntilTheAttemptEnds)
{
  Run(kPoison, "u1", kStart);
  tracker.RecordDeath({ "u1" }, kStart);
  CHECK_EQUAL(0, tracker.UpstreamsWithSuspects().size());
  const attempt_id attempt = Run(kPoison, "u2", kStart);
  CHECK_EQUAL(1, tracker.UpstreamsWithSuspects().size());
  tracker.RecordEnd(attempt);
  CHECK_EQUAL(0, tracker.UpstreamsWithSuspects().size());
  CHECK(Verdict(kPoison, kStart) == poison_verdict::isolate);
}

TEST(poison_tracker, DeathWithTwoSuspectsInFlightQuarantinesNeither)
{
  for (const std::uint64_t suspect : { 1, 2 }) {
    Run(suspect, "u1", kStart);
  }
  tracker.RecordDeath({ "u1" }, kStart);
  for (const std::uint64_t suspect : { 1, 2 }) {
    Run(suspect, "u2", kStart);
  }
  tracker.RecordDeath({ "u2" }, kStart);
  CHECK(Verdict(1, kStart) == poison_verdict::isolate);
  CHECK(Verdict(2, kStart) == poison_verdict::isolate);
}

TEST(poison_tracker, DeathsInQuickSuccessionWithoutACommonRequestQuarantineNone)
{
  for (const char* upstream : { "u1", "u2", "u3", "u4" }) {
    Run(HashText(upstream), upstream, kStart);
  }
  tracker.RecordDeath({ "u1" }, kStart);
  tracker.RecordDeath({ "u2" }, kStart + 100_ms);
  CHECK_EQUAL(0, tracker.RecordDeath({ "u3" }, kStart + 200_ms).size());
  Run(HashText("u1"), "u4", kStart + 200_ms);
  tracker.RecordDeath({ "u4" }, kStart + 1_s);
  CHECK(Verdict(HashText("u1"), kStart + 1_s) == poison_verdict::isolate);
  CHECK(Verdict(HashText("u4"), kStart + 1_s) == poison_verdict::clear);
  Run(HashText("u1"), "u5", kStart + 20_s);
  tracker.RecordDeath({ "u5" }, kStart + 21_s);
  CHECK(Verdict(HashText("u1"), kStart + 21_s) == poison_verdict::quarantined);
}

TEST(poison_tracker, PoisonRequestOnSeveralUpstreamsAtOnceIsQuarantined)
{
  for (const char* upstream : { "u1", "u2", "u3", "u4" }) {
    Run(kPoison, upstream, kStart);
  }
  tracker.RecordDeath({ "u1" }, kStart);
  tracker.RecordDeath({ "u2" }, kStart);
  CHECK(Verdict(kPoison, kStart) == poison_verdict::quarantined);
}

TEST(poison_tracker, RoutersSendSuspectsToDifferentUpstreams)
{
  std::vector<upstream_id> all;
  all.reserve(57);
  for (int number = 0; number < 57; ++number) {
    all.push_back({ fmt::format("g{}", number) });
  }
  const std::vector<router_id> routers{ { "r1" }, { "r2" }, { "r3" } };
  std::size_t open = 0;
  for (const router_id& router : routers) {
    open += all.size() - tracker.UpstreamsClosedToSuspects(all, router, routers).size();
  }
  CHECK_EQUAL(all.size(), open);
  const std::vector<upstream_id> single{ { "g1" } };
  for (const router_id& router : routers) {
    CHECK_EQUAL(0, tracker.UpstreamsClosedToSuspects(single, router, routers).size());
  }
}

TEST(poison_tracker, QuarantineExpires)
{
  Quarantine(kStart);
  const poison_check check = tracker.Check(kPoison, kStart + 100_s);
  CHECK(check.verdict == poison_verdict::quarantined);
  CHECK(check.remaining == kQuarantineLifetime - 100_s);
  CHECK(Verdict(kPoison, kStart + kQuarantineLifetime) == poison_verdict::clear);
}

TEST(poison_tracker, SuspectIsRecognisedAtAnotherRouter)
{
  poison_tracker other;
  Run(kPoison, "u1", kStart);
  for (const auto& message : tracker.RecordDeath({ "u1" }, kStart)) {
    CHECK(other.Apply(message, kStart));
    CHECK_FALSE(other.Apply(message, kStart + 50_ms));
  }
  other.RecordDispatch({ "b1" }, kPoison, { "u2" }, kStart + 1_s);
  for (const auto& message : other.RecordDeath({ "u2" }, kStart + 2_s)) {
    CHECK(tracker.Apply(message, kStart + 2_s));
  }
  CHECK(Verdict(kPoison, kStart + 3_s) == poison_verdict::quarantined);
  CHECK_FALSE(tracker.Apply({ kPoison, 0, false, {} }, kStart + 4_s));
  CHECK(Verdict(kPoison, kStart + 4_s) == poison_verdict::quarantined);
}

TEST(poison_tracker, OldMessageDoesNotSuspectAClearedRequest)
{
  Run(1, "u1", kStart);
  tracker.RecordDeath({ "u1" }, kStart);
  tracker.RecordCompletion(Run(1, "u2", kStart + 1_s), kStart + 2_s);
  CHECK_FALSE(tracker.Apply({ 1, 1, false, 3_s }, kStart + 3_s));
  CHECK(Verdict(1, kStart + 3_s) == poison_verdict::clear);
  CHECK(tracker.Apply({ 1, 1, false, {} }, kStart + 4_s));
  CHECK_FALSE(tracker.Apply({ 2, 1, false, kSuspectLifetime }, kStart + 4_s));
}

TEST(poison_tracker, EntriesAreBoundedAndSuspectsAreEvictedBeforeQuarantined)
{
  Quarantine(kStart);
  for (std::uint64_t suspect = 1000; suspect < 1000 + 2 * kMaxSuspects; ++suspect) {
    tracker.Apply({ suspect, 1, false, {} }, kStart + 1_s);
  }
  CHECK_EQUAL(kMaxSuspects, tracker.Entries(kStart + 1_s).size());
  CHECK(Verdict(kPoison, kStart + 1_s) == poison_verdict::quarantined);
  tracker.Prune(kStart + kQuarantineLifetime + 2_s);
  CHECK_EQUAL(0, tracker.Entries(kStart + 1_s).size());
}

TEST(poison_tracker, FingerprintDependsOnServiceCustomerAndBody)
{
  const std::uint64_t fingerprint = RequestFingerprint({ "a" }, { "b" }, "c");
  CHECK(fingerprint == RequestFingerprint({ "a" }, { "b" }, "c"));
  CHECK(fingerprint != RequestFingerprint({ "a" }, { "b" }, "d"));
  CHECK(fingerprint != RequestFingerprint({ "a" }, { "x" }, "c"));
  CHECK(fingerprint != RequestFingerprint({ "ab" }, { "" }, "c"));
}
