#include "gateway/leaserules.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(lease_rules)
{
  lease_times times;
  lease_rules first{ { "first" }, times, 1 };
  lease_rules second{ { "second" }, times, 2 };
  time_point now{ 100000 };
  // The store's object.
  std::optional<lease_value> stored;
  revision version{ 10 };

  bool Accept(const lease_step& aStep)
  {
    const bool fits = aStep.expected ? stored && *aStep.expected == version : !stored;
    if (fits) {
      stored = aStep.value;
      version = version.Next();
    }
    return fits;
  }

  void Step(lease_rules& aRules)
  {
    const lease_step step = aRules.Next(now);
    if (step.what == lease_step::kind::write) {
      if (Accept(step)) {
        aRules.Written(step.value, version, now);
      } else {
        aRules.NotWritten(platform::store_error::conflict, now, now);
      }
    } else if (step.what != lease_step::kind::none) {
      const bool cheap = step.what == lease_step::kind::read_cheap;
      if (stored) {
        aRules.Seen(*stored, version, cheap, now);
      } else {
        aRules.SeenMissing(cheap, now);
      }
    }
  }

  void Run(duration aSpan, bool aFirst = true, bool aSecond = true)
  {
    const time_point end = now + aSpan;
    while (now < end) {
      now = now + kLeaseTick;
      if (aFirst) {
        Step(first);
      }
      if (aSecond) {
        Step(second);
      }
      CHECK_FALSE(first.Holds(now) && second.Holds(now));
    }
  }
};
// clang-format on

TEST(lease_rules, OneOfTwoHoldsItAndKeepsIt)
{
  Run(3_s);
  CHECK(first.Holds(now) != second.Holds(now));
  const std::uint64_t token = stored->token.value;
  Run(20_s);
  UNSIGNED_LONGS_EQUAL(token, stored->token.value);
}

TEST(lease_rules, LapsedLeaseIsTakenWithAHigherToken)
{
  Run(3_s, true, false);
  CHECK(first.Holds(now));
  const std::uint64_t token = stored->token.value;
  Run(5_s, false, true);
  CHECK(second.Holds(now));
  CHECK(stored->token.value > token);
}

TEST(lease_rules, HolderThatSleptDoesNotActWhenItWakes)
{
  Run(3_s, true, false);
  Run(5_s, false, true);
  CHECK_FALSE(first.Holds(now));
  Run(5_s);
  CHECK(second.Holds(now));
}

TEST(lease_rules, RenewalWithoutAnAnswerIsFoundOutByReading)
{
  Run(3_s, true, false);
  now = now + times.renew;
  const lease_step renewal = first.Next(now);
  CHECK(renewal.what == lease_step::kind::write);
  CHECK(Accept(renewal));
  first.NotWritten(platform::store_error::unknown_outcome, now, now);
  Run(1_s, true, false);
  CHECK(first.Holds(now));
  UNSIGNED_LONGS_EQUAL(1, stored->token.value);
}

TEST(lease_rules, WithoutTheStoreTheHolderStopsBeforeOthersMayTakeIt)
{
  Run(3_s, true, false);
  CHECK(first.Holds(now));
  now = now + times.trust;
  CHECK_FALSE(first.Holds(now));
  CHECK(times.trust < times.lifetime);
}

TEST(lease_rules, ReturnedLeaseIsTakenAtOnce)
{
  Run(3_s, true, false);
  const auto last = first.Resign(now);
  CHECK(last.has_value());
  CHECK(Accept(*last));
  Run(1200_ms, false, true);
  CHECK(second.Holds(now));
}

TEST(lease_rules, StaleLookIsNoGroundForAWrite)
{
  Run(3_s, true, false);
  second.Seen(*stored, version, true, now);
  now = now + times.lifetime + 1_s;
  const lease_step step = second.Next(now);
  CHECK(step.what == lease_step::kind::read);
}

TEST(lease_rules, DamagedLeaseCountsAsHeldByNobody)
{
  CHECK(ParseLease("not json").holder.Empty());
  CHECK(ParseLease(R"({"holder": 7, "token": "x"})").holder.Empty());
  const lease_value value{ { "me" }, { 7 }, 3 };
  const lease_value read = ParseLease(RenderLease(value));
  STRCMP_EQUAL("me", read.holder.value.c_str());
  UNSIGNED_LONGS_EQUAL(7, read.token.value);
}
