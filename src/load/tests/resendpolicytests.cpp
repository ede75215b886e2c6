#include "load/resendpolicy.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::load;

// clang-format off
TEST_GROUP(resend_policy)
{
  planned_call keyed;
  planned_call plain;
  exchange_result result;
  send_counts counts;

  void setup() override { keyed.key = idempotency_key{ "k" }; }
};
// clang-format on

TEST(resend_policy, UnknownOutcomeIsSentAgainOnlyWithAKey)
{
  result.refusal = kNoAnswer;
  CHECK(ResendWait(keyed, result, counts, 3).has_value());
  CHECK_FALSE(ResendWait(plain, result, counts, 3).has_value());
}

TEST(resend_policy, ProvenNotRunOrLeftStands)
{
  result.refusal = "queue_full";
  result.ran = "no";
  CHECK_FALSE(ResendWait(keyed, result, counts, 3).has_value());
  result.ran = "";
  result.refusal = kLeft;
  CHECK_FALSE(ResendWait(keyed, result, counts, 3).has_value());
}

TEST(resend_policy, UnreachableRouterIsPassedOverAtOnceUntilAllWereTried)
{
  result.refusal = kNotSent;
  counts.notSent = 2;
  CHECK(ResendWait(plain, result, counts, 3) == duration{ 0 });
  counts.notSent = 3;
  CHECK_FALSE(ResendWait(plain, result, counts, 3).has_value());
}

TEST(resend_policy, DuplicateIsSentOnce)
{
  result.answered = true;
  keyed.duplicate = true;
  CHECK(ResendWait(keyed, result, counts, 3).has_value());
  counts.duplicated = true;
  CHECK_FALSE(ResendWait(keyed, result, counts, 3).has_value());
}

TEST(resend_policy, ResendsEnd)
{
  result.refusal = kTimeout;
  counts.sent = 100;
  CHECK_FALSE(ResendWait(keyed, result, counts, 3).has_value());
}
