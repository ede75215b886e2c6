#include "ledger/tests/mocks/ledgerworld.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::ledger;

// clang-format off
TEST_GROUP(ledger_shard)
{
  ledger_world world{ 2 };

  attempt_ref Granted(std::size_t aRouter)
  {
    attempt_ref attempt = world.Begin(aRouter, "k");
    world.Run();
    CHECK(world.Verdict(attempt) == begin_verdict::granted);
    return attempt;
  }
  begin_result Repeat(std::size_t aRouter, const char* aDigest = "d")
  {
    const attempt_ref attempt = world.Begin(aRouter, "k", aDigest);
    world.Run();
    return world.attempts[attempt].result.value();
  }
};
// clang-format on

TEST(ledger_shard, OfTwoRoutersAndOneKeyOneIsGranted)
{
  const attempt_ref first = world.Begin(0, "k");
  const attempt_ref second = world.Begin(1, "k");
  world.Run();
  CHECK((world.Verdict(first) == begin_verdict::granted) !=
        (world.Verdict(second) == begin_verdict::granted));
  CHECK((world.Verdict(first) == begin_verdict::in_progress) !=
        (world.Verdict(second) == begin_verdict::in_progress));
}

TEST(ledger_shard, IntentsThatWaitShareOneWrite)
{
  const attempt_ref first = world.Begin(0, "a");
  const attempt_ref second = world.Begin(0, "b");
  const attempt_ref third = world.Begin(0, "c");
  world.Run();
  CHECK(world.Verdict(first) == begin_verdict::granted);
  CHECK(world.Verdict(second) == begin_verdict::granted);
  CHECK(world.Verdict(third) == begin_verdict::granted);
  LONGS_EQUAL(1, world.Writes());
}

TEST(ledger_shard, LoneIntentSoonAfterAWriteWaitsForAnotherWhenGrouped)
{
  ledger_world grouped(1, 1, kGroupCommitPolicy);
  grouped.Begin(0, "k");
  grouped.Run();
  grouped.Advance(kGroupCommitPolicy.minWriteInterval);
  const attempt_ref lone = grouped.Begin(0, "a");
  CHECK_FALSE(grouped.HasCall(0));
  const attempt_ref companion = grouped.Begin(0, "b");
  CHECK(grouped.HasCall(0));
  grouped.Run();
  CHECK(grouped.Verdict(lone) == begin_verdict::granted);
  CHECK(grouped.Verdict(companion) == begin_verdict::granted);
  LONGS_EQUAL(2, grouped.Writes());
}

TEST(ledger_shard, ObjectThatOthersWriteIsReadBeforeTheWrite)
{
  for (int i = 0; i < 5; ++i) {
    world.Begin(static_cast<std::size_t>(i % 2), "k" + std::to_string(i));
    world.Run();
    world.Advance(1_s);
  }
  // The first write of each router could not know of the other.
  LONGS_EQUAL(5, world.Writes());
  CHECK(world.Conflicts() <= 1);
}

TEST(ledger_shard, ObjectOfOneWriterIsReadOnce)
{
  for (int i = 0; i < 5; ++i) {
    world.Begin(0, "k" + std::to_string(i));
    world.Run();
    world.Advance(1_s);
  }
  LONGS_EQUAL(5, world.Writes());
  LONGS_EQUAL(1, world.Reads());
}

TEST(ledger_shard, RepeatOfADoneCallGetsItsAnswer)
{
  const stored_response answer{ 200, "text/plain", "tent 12" };
  world.Close(Granted(0), record_state::done, answer);
  world.Settle();
  const begin_result repeat = Repeat(1);
  CHECK(repeat.verdict == begin_verdict::done);
  CHECK(repeat.response == answer);
}

TEST(ledger_shard, AnotherBodyUnderTheKeyIsAConflictInEveryState)
{
  const attempt_ref attempt = Granted(0);
  CHECK(Repeat(1, "other").verdict == begin_verdict::key_conflict);
  CHECK(Repeat(0, "other").verdict == begin_verdict::key_conflict);
  world.Close(attempt, record_state::not_run);
  world.Settle();
  const begin_result later = Repeat(1, "other");
  CHECK(later.verdict == begin_verdict::key_conflict);
  CHECK(later.execution == execution_status::unknown);
}

TEST(ledger_shard, LostReplyOfALandedWriteIsGrantedOnce)
{
  const attempt_ref attempt = world.Begin(0, "k");
  world.TakeEffect(0);
  world.Reply(0);
  world.TakeEffect(0);
  world.LoseReply(0);
  CHECK_FALSE(world.Answered(attempt));
  world.Advance(50_ms);
  world.Run();
  CHECK(world.Verdict(attempt) == begin_verdict::granted);
  LONGS_EQUAL(1, world.Writes());
}

TEST(ledger_shard, UnchangedVersionIsNoProofThatAWriteNeverLands)
{
  const attempt_ref attempt = world.Begin(0, "k", "d", 100_ms);
  world.TakeEffect(0);
  world.Reply(0);
  world.LoseReply(0);
  world.Advance(50_ms);
  world.TakeEffect(0);
  world.Reply(0);
  CHECK_FALSE(world.Answered(attempt));
  world.Advance(60_ms);
  CHECK(world.Verdict(attempt) == begin_verdict::store_unavailable);
  CHECK(world.attempts[attempt].result->execution == execution_status::unknown);
  world.Land();
  world.Settle();
  CHECK(world.Table().Find({ "k" })->state == record_state::not_run);
  CHECK(Repeat(1).verdict == begin_verdict::granted);
}

TEST(ledger_shard, WriteThatMayStillLandIsShutOutOnceTheCallerIsGivenUp)
{
  const attempt_ref attempt = world.Begin(0, "k", "d", 100_ms);
  world.TakeEffect(0);
  world.Reply(0);
  world.LoseReply(0);
  world.Advance(50_ms);
  world.TakeEffect(0);
  world.Reply(0);
  world.down = true;
  world.TakeEffect(0);
  world.Reply(0);
  world.Advance(60_ms);
  CHECK(world.Verdict(attempt) == begin_verdict::store_unavailable);
  world.down = false;
  world.Settle();
  world.Land();
  world.Settle();
  CHECK(world.Table().Find({ "k" })->state == record_state::not_run);
}

TEST(ledger_shard, StoreDownBeforeTheWriteIsFinalAtOnceAndUnknown)
{
  world.down = true;
  const attempt_ref attempt = world.Begin(0, "k", "d", 300_ms);
  for (int i = 0; i < 30; ++i) {
    world.Run();
    world.Advance(10_ms);
  }
  CHECK(world.Verdict(attempt) == begin_verdict::store_unavailable);
  CHECK(world.attempts[attempt].result->execution == execution_status::unknown);
  CHECK(world.attempts[attempt].result->retryAfter > 0_ms);
  world.down = false;
  CHECK(Repeat(1).verdict == begin_verdict::granted);
}

TEST(ledger_shard, StoreDownAfterTheDispatchKeepsTheCloseForLater)
{
  const attempt_ref attempt = Granted(0);
  world.Dispatch(attempt);
  world.down = true;
  world.Close(attempt, record_state::done, stored_response{ 200, "", "ok" });
  world.Settle();
  CHECK(world.Table().Find({ "k" })->state == record_state::intent);
  world.down = false;
  world.Settle();
  CHECK(Repeat(1).verdict == begin_verdict::done);
}

TEST(ledger_shard, NotRunReopensTheKeyAlsoWhenTheStoreWasDown)
{
  const attempt_ref attempt = Granted(0);
  world.down = true;
  world.Close(attempt, record_state::not_run);
  world.Settle();
  world.down = false;
  const attempt_ref early = world.Begin(1, "k");
  world.TakeEffect(1);
  world.Reply(1);
  CHECK(world.Verdict(early) == begin_verdict::in_progress);
  world.Settle();
  CHECK(Repeat(1).verdict == begin_verdict::granted);
}

TEST(ledger_shard, FlushWritesClosesWithoutWaiting)
{
  world.Close(Granted(0), record_state::done);
  CHECK_FALSE(world.HasCall(0));
  world.Flush(0);
  CHECK(world.HasCall(0));
  world.Run();
  CHECK(world.Table().Find({ "k" })->state == record_state::done);
}

TEST(ledger_shard, OnlyTheAttemptThatWroteTheIntentMayCloseIt)
{
  Granted(0);
  const attempt_ref other = world.Begin(1, "k");
  world.Run();
  world.Close(other, record_state::not_run);
  world.Settle();
  CHECK(world.Table().Find({ "k" })->state == record_state::intent);
}

TEST(ledger_shard, RouterPausedBeforeItsDispatchStaysTheOnlyOneThatMayDispatch)
{
  Granted(0);
  for (int i = 0; i < 10; ++i) {
    world.Advance(60_s);
    CHECK(Repeat(1).verdict == begin_verdict::in_progress);
  }
}

TEST(ledger_shard, RouterPausedAcrossItsCommitGrantsNothingAfterThePatience)
{
  const attempt_ref attempt = world.Begin(0, "k", "d", 100_ms);
  world.TakeEffect(0);
  world.Reply(0);
  world.TakeEffect(0);
  world.now = world.now + 3600_s;
  world.Reply(0);
  CHECK(world.Verdict(attempt) == begin_verdict::store_unavailable);
  world.Settle();
  CHECK(world.Table().Find({ "k" })->state == record_state::not_run);
}

TEST(ledger_shard, IntentOfAKilledRouterStaysUnknown)
{
  world.Dispatch(Granted(0));
  world.Kill(0);
  CHECK(Repeat(0).verdict == begin_verdict::unknown);
  CHECK(Repeat(1).verdict == begin_verdict::in_progress);
  world.Settle();
  CHECK(Repeat(0).execution == execution_status::unknown);
}

TEST(ledger_shard, FullObjectRefusesNewKeysWithProof)
{
  for (std::size_t i = 0; i < kMaxRecordsPerShard; ++i) {
    world.Begin(0, "k" + std::to_string(i));
    if (i % 1000 == 999) {
      world.Run();
    }
  }
  world.Run();
  const begin_result refusal = Repeat(1);
  CHECK(refusal.verdict == begin_verdict::full);
  CHECK(refusal.execution == execution_status::not_executed);
}

TEST(ledger_shard, UnreadableObjectIsNeverOverwritten)
{
  const attempt_ref first = Granted(0);
  world.Spoil();
  const attempt_ref attempt = world.Begin(1, "other");
  world.Settle();
  CHECK(world.Verdict(attempt) == begin_verdict::store_unavailable);
  CHECK(world.Verdict(first) == begin_verdict::granted);
  LONGS_EQUAL(1, world.Writes());
}
