#include "ledger/tests/mocks/shardsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::ledger;

// clang-format off
TEST_GROUP(ledger_shard)
{
  shard_simulation simulation{ 2 };

  attempt_ref Granted(std::size_t aRouter)
  {
    attempt_ref attempt = simulation.Begin(aRouter, "k");
    simulation.RunUntilIdle();
    CHECK(simulation.Verdict(attempt) == begin_verdict::granted);
    return attempt;
  }
  begin_result Repeat(std::size_t aRouter, const char* aDigest = "d")
  {
    const attempt_ref attempt = simulation.Begin(aRouter, "k", aDigest);
    simulation.RunUntilIdle();
    return simulation.attempts[attempt].result.value();
  }
};
// clang-format on

TEST(ledger_shard, OnlyOneOfTwoRoutersIsGrantedTheSameKey)
{
  const attempt_ref first = simulation.Begin(0, "k");
  const attempt_ref second = simulation.Begin(1, "k");
  simulation.RunUntilIdle();
  CHECK((simulation.Verdict(first) == begin_verdict::granted) !=
        (simulation.Verdict(second) == begin_verdict::granted));
  CHECK((simulation.Verdict(first) == begin_verdict::in_progress) !=
        (simulation.Verdict(second) == begin_verdict::in_progress));
}

TEST(ledger_shard, WaitingIntentsShareOneWrite)
{
  const attempt_ref first = simulation.Begin(0, "a");
  const attempt_ref second = simulation.Begin(0, "b");
  const attempt_ref third = simulation.Begin(0, "c");
  simulation.RunUntilIdle();
  CHECK(simulation.Verdict(first) == begin_verdict::granted);
  CHECK(simulation.Verdict(second) == begin_verdict::granted);
  CHECK(simulation.Verdict(third) == begin_verdict::granted);
  LONGS_EQUAL(1, simulation.Writes());
}

TEST(ledger_shard, GroupCommitDelaysASingleIntentSoonAfterAWrite)
{
  shard_simulation grouped(1, 1, kGroupCommitPolicy);
  grouped.Begin(0, "k");
  grouped.RunUntilIdle();
  grouped.AdvanceTime(kGroupCommitPolicy.minWriteInterval);
  const attempt_ref lone = grouped.Begin(0, "a");
  CHECK_FALSE(grouped.HasCall(0));
  const attempt_ref companion = grouped.Begin(0, "b");
  CHECK(grouped.HasCall(0));
  grouped.RunUntilIdle();
  CHECK(grouped.Verdict(lone) == begin_verdict::granted);
  CHECK(grouped.Verdict(companion) == begin_verdict::granted);
  LONGS_EQUAL(2, grouped.Writes());
}

TEST(ledger_shard, ObjectWithSeveralWritersIsReadBeforeEachWrite)
{
  for (int i = 0; i < 5; ++i) {
    simulation.Begin(static_cast<std::size_t>(i % 2), "k" + std::to_string(i));
    simulation.RunUntilIdle();
    simulation.AdvanceTime(1_s);
  }
  // The first write of each router cannot take the other router into account.
  LONGS_EQUAL(5, simulation.Writes());
  CHECK(simulation.Conflicts() <= 1);
}

TEST(ledger_shard, ObjectWithASingleWriterIsReadOnce)
{
  for (int i = 0; i < 5; ++i) {
    simulation.Begin(0, "k" + std::to_string(i));
    simulation.RunUntilIdle();
    simulation.AdvanceTime(1_s);
  }
  LONGS_EQUAL(5, simulation.Writes());
  LONGS_EQUAL(1, simulation.Reads());
}

TEST(ledger_shard, RepeatOfADoneCallGetsTheStoredResponse)
{
  const stored_response response{ 200, "text/plain", "tent 12" };
  simulation.Close(Granted(0), record_state::done, response);
  simulation.RunUntilSettled();
  const begin_result repeat = Repeat(1);
  CHECK(repeat.verdict == begin_verdict::done);
  CHECK(repeat.response == response);
}

TEST(ledger_shard, OtherDigestUnderTheSameKeyIsAConflictInEveryState)
{
  const attempt_ref attempt = Granted(0);
  CHECK(Repeat(1, "other").verdict == begin_verdict::key_conflict);
  CHECK(Repeat(0, "other").verdict == begin_verdict::key_conflict);
  simulation.Close(attempt, record_state::not_run);
  simulation.RunUntilSettled();
  const begin_result later = Repeat(1, "other");
  CHECK(later.verdict == begin_verdict::key_conflict);
  CHECK(later.execution == execution_status::unknown);
}

TEST(ledger_shard, IntentIsGrantedOnceWhenTheReplyOfItsWriteIsLost)
{
  const attempt_ref attempt = simulation.Begin(0, "k");
  simulation.ApplyCall(0);
  simulation.DeliverReply(0);
  simulation.ApplyCall(0);
  simulation.LoseReply(0);
  CHECK_FALSE(simulation.HasVerdict(attempt));
  simulation.AdvanceTime(50_ms);
  simulation.RunUntilIdle();
  CHECK(simulation.Verdict(attempt) == begin_verdict::granted);
  LONGS_EQUAL(1, simulation.Writes());
}

TEST(ledger_shard, UnchangedVersionDoesNotProveThatADelayedWriteIsLost)
{
  const attempt_ref attempt = simulation.Begin(0, "k", "d", 100_ms);
  simulation.ApplyCall(0);
  simulation.DeliverReply(0);
  simulation.LoseReply(0);
  simulation.AdvanceTime(50_ms);
  simulation.ApplyCall(0);
  simulation.DeliverReply(0);
  CHECK_FALSE(simulation.HasVerdict(attempt));
  simulation.AdvanceTime(60_ms);
  CHECK(simulation.Verdict(attempt) == begin_verdict::store_unavailable);
  CHECK(simulation.attempts[attempt].result->execution == execution_status::unknown);
  simulation.ApplyDelayedWrite();
  simulation.RunUntilSettled();
  CHECK(simulation.Table().Find({ "k" })->state == record_state::not_run);
  CHECK(Repeat(1).verdict == begin_verdict::granted);
}

TEST(ledger_shard, DelayedWriteOfAnExpiredIntentIsSuperseded)
{
  const attempt_ref attempt = simulation.Begin(0, "k", "d", 100_ms);
  simulation.ApplyCall(0);
  simulation.DeliverReply(0);
  simulation.LoseReply(0);
  simulation.AdvanceTime(50_ms);
  simulation.ApplyCall(0);
  simulation.DeliverReply(0);
  simulation.storeDown = true;
  simulation.ApplyCall(0);
  simulation.DeliverReply(0);
  simulation.AdvanceTime(60_ms);
  CHECK(simulation.Verdict(attempt) == begin_verdict::store_unavailable);
  simulation.storeDown = false;
  simulation.RunUntilSettled();
  simulation.ApplyDelayedWrite();
  simulation.RunUntilSettled();
  CHECK(simulation.Table().Find({ "k" })->state == record_state::not_run);
}

TEST(ledger_shard, StoreOutageBeforeTheWriteGivesStoreUnavailable)
{
  simulation.storeDown = true;
  const attempt_ref attempt = simulation.Begin(0, "k", "d", 300_ms);
  for (int i = 0; i < 30; ++i) {
    simulation.RunUntilIdle();
    simulation.AdvanceTime(10_ms);
  }
  CHECK(simulation.Verdict(attempt) == begin_verdict::store_unavailable);
  CHECK(simulation.attempts[attempt].result->execution == execution_status::unknown);
  CHECK(simulation.attempts[attempt].result->retryAfter > 0_ms);
  simulation.storeDown = false;
  CHECK(Repeat(1).verdict == begin_verdict::granted);
}

TEST(ledger_shard, CloseDuringAStoreOutageIsWrittenAfterIt)
{
  const attempt_ref attempt = Granted(0);
  simulation.Dispatch(attempt);
  simulation.storeDown = true;
  simulation.Close(attempt, record_state::done, stored_response{ 200, "", "ok" });
  simulation.RunUntilSettled();
  CHECK(simulation.Table().Find({ "k" })->state == record_state::intent);
  simulation.storeDown = false;
  simulation.RunUntilSettled();
  CHECK(Repeat(1).verdict == begin_verdict::done);
}

TEST(ledger_shard, NotRunReopensTheKeyAfterAStoreOutage)
{
  const attempt_ref attempt = Granted(0);
  simulation.storeDown = true;
  simulation.Close(attempt, record_state::not_run);
  simulation.RunUntilSettled();
  simulation.storeDown = false;
  const attempt_ref early = simulation.Begin(1, "k");
  simulation.ApplyCall(1);
  simulation.DeliverReply(1);
  CHECK(simulation.Verdict(early) == begin_verdict::in_progress);
  simulation.RunUntilSettled();
  CHECK(Repeat(1).verdict == begin_verdict::granted);
}

TEST(ledger_shard, FlushWritesClosesWithoutDelay)
{
  simulation.Close(Granted(0), record_state::done);
  CHECK_FALSE(simulation.HasCall(0));
  simulation.Flush(0);
  CHECK(simulation.HasCall(0));
  simulation.RunUntilIdle();
  CHECK(simulation.Table().Find({ "k" })->state == record_state::done);
}

TEST(ledger_shard, OnlyTheAttemptThatWroteTheIntentMayCloseIt)
{
  Granted(0);
  const attempt_ref other = simulation.Begin(1, "k");
  simulation.RunUntilIdle();
  simulation.Close(other, record_state::not_run);
  simulation.RunUntilSettled();
  CHECK(simulation.Table().Find({ "k" })->state == record_state::intent);
}

TEST(ledger_shard, IntentOfAPausedRouterBlocksOtherRouters)
{
  Granted(0);
  for (int i = 0; i < 10; ++i) {
    simulation.AdvanceTime(60_s);
    CHECK(Repeat(1).verdict == begin_verdict::in_progress);
  }
}

TEST(ledger_shard, CommitCompletedAfterTheDeadlineIsNotGranted)
{
  const attempt_ref attempt = simulation.Begin(0, "k", "d", 100_ms);
  simulation.ApplyCall(0);
  simulation.DeliverReply(0);
  simulation.ApplyCall(0);
  simulation.now = simulation.now + 3600_s;
  simulation.DeliverReply(0);
  CHECK(simulation.Verdict(attempt) == begin_verdict::store_unavailable);
  simulation.RunUntilSettled();
  CHECK(simulation.Table().Find({ "k" })->state == record_state::not_run);
}

TEST(ledger_shard, OutcomeOfAKilledRoutersIntentStaysUnknown)
{
  simulation.Dispatch(Granted(0));
  simulation.RestartRouter(0);
  CHECK(Repeat(0).verdict == begin_verdict::unknown);
  CHECK(Repeat(1).verdict == begin_verdict::in_progress);
  simulation.RunUntilSettled();
  CHECK(Repeat(0).execution == execution_status::unknown);
}

TEST(ledger_shard, FullObjectRefusesNewKeysAsNotExecuted)
{
  for (std::size_t i = 0; i < kMaxRecordsPerShard; ++i) {
    simulation.Begin(0, "k" + std::to_string(i));
    if (i % 1000 == 999) {
      simulation.RunUntilIdle();
    }
  }
  simulation.RunUntilIdle();
  const begin_result refusal = Repeat(1);
  CHECK(refusal.verdict == begin_verdict::full);
  CHECK(refusal.execution == execution_status::not_executed);
}

TEST(ledger_shard, UnreadableObjectIsNeverOverwritten)
{
  const attempt_ref first = Granted(0);
  simulation.MakeUnreadable();
  const attempt_ref attempt = simulation.Begin(1, "other");
  simulation.RunUntilSettled();
  CHECK(simulation.Verdict(attempt) == begin_verdict::store_unavailable);
  CHECK(simulation.Verdict(first) == begin_verdict::granted);
  LONGS_EQUAL(1, simulation.Writes());
}
