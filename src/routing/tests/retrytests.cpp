#include "routing/retrydecision.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::routing;

namespace {

constexpr time_point kStart{ 100000 };

} // namespace

// clang-format off
TEST_GROUP(retry)
{
  retry_budget budget{ 10 };
};
// clang-format on

TEST(retry, RetriesAreLimitedToAPercentageOfFirstAttempts)
{
  int taken = 0;
  for (std::int64_t number = 0; number < 10000; ++number) {
    const time_point now = kStart + 10_ms * number;
    budget.OnFirstAttempt(now);
    taken += budget.TryTakeToken(now) ? 1 : 0;
  }
  CHECK(taken >= 990);
  CHECK(taken <= 1010);
}

TEST(retry, UnusedTokensDecayToTheReserveOfOne)
{
  for (int number = 0; number < 500; ++number) {
    budget.OnFirstAttempt(kStart);
  }
  CHECK(budget.TokensLeft(kStart) > 50);
  CHECK(budget.TokensLeft(kStart + 100_s) < 1.1);
  CHECK(budget.TryTakeToken(kStart + 100_s));
  CHECK_FALSE(budget.TryTakeToken(kStart + 100_s));
}

TEST(retry, CallThatMayHaveRunIsNeverRepeated)
{
  failed_attempt failed;
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::may_have_run);
  failed.resumable = true;
  failed.bytesDelivered = 9;
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::may_have_run);
  failed = {};
  failed.provedNotRun = true;
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::repeat);
}

TEST(retry, PartlyDeliveredAnswerIsResumedNotRepeated)
{
  failed_attempt failed;
  failed.idempotent = true;
  failed.bytesDelivered = 1;
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::partly_delivered);
  failed.resumable = true;
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::resume);
}

TEST(retry, DeadlineAttemptsAndBudgetEachPreventRetries)
{
  failed_attempt failed;
  failed.idempotent = true;
  failed.deadline = kStart + 500_ms;
  failed.expectedTimeToFirstByte = 500_ms;
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::deadline_too_near);
  failed.expectedTimeToFirstByte = 100_ms;
  failed.attempts = kMaxAttempts;
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::attempts_spent);
  failed.attempts = 1;
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::repeat);
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::budget_spent);
}

TEST(retry, RetriesAfterDrainingRefusalsTakeNoBudget)
{
  failed_attempt failed;
  failed.draining = true;
  const double before = budget.TokensLeft(kStart);
  for (failed.attempts = 1; failed.attempts < kMaxAttemptsAfterDraining; ++failed.attempts) {
    CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::repeat);
  }
  CHECK(DecideRetry(failed, budget, kStart) == retry_verdict::attempts_spent);
  DOUBLES_EQUAL(before, budget.TokensLeft(kStart), 0.001);
}
