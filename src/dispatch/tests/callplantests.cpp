#include "dispatch/callplan.h"
#include "dispatch/tests/mocks/boardrig.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::dispatch;

// clang-format off
TEST_GROUP(call_plan)
{
  board_rig rig;
  repeat_budget budget{ { 0.2, 100, 10_s } };
  time_point now{ 50000 };

  call_facts Stream()
  {
    call_facts facts;
    facts.service = { "llm" };
    facts.kind = routes::call_kind::streaming;
    facts.mayRepeat = true;
    facts.resumable = true;
    facts.model = { "pair" };
    facts.promptTokens = 700;
    facts.arrived = now;
    facts.deadline = now + 8_s;
    facts.maxAttempts = 2;
    return facts;
  }

  call_facts Plain(routes::call_kind aKind)
  {
    call_facts facts = Stream();
    facts.service = { "desk" };
    facts.model = {};
    facts.kind = aKind;
    facts.resumable = false;
    facts.mayRepeat = aKind == routes::call_kind::idempotent;
    return facts;
  }
};
// clang-format on

namespace {

template<typename Step>
const Step&
As(const plan_step& aStep)
{
  CHECK(std::holds_alternative<Step>(aStep));
  return std::get<Step>(aStep);
}

} // namespace

TEST(call_plan, IsSentToAnUpstreamWithItsDeadline)
{
  call_plan plan(Stream(), rig.board, budget, 1);
  const plan_step step = plan.Begin(now);
  CHECK(As<send_step>(step).deadline == now + 8_s);
  CHECK_FALSE(As<send_step>(step).repeat);
}

TEST(call_plan, LostStreamGoesOnElsewhereAfterItsLastEvent)
{
  call_plan plan(Stream(), rig.board, budget, 1);
  const plan_step first = plan.Begin(now);
  const instance_id lost = As<send_step>(first).upstream;
  plan.AnswerBegan();
  plan.EventPassed(12);
  const plan_step second = plan.Lost(lost, now);
  CHECK(As<send_step>(second).upstream != lost);
  UNSIGNED_LONGS_EQUAL(12, As<send_step>(second).resumeAfter.value_or(0));
  CHECK(As<send_step>(second).repeat);
}

TEST(call_plan, StreamThatMayNotBeResumedIsCutNotJoined)
{
  call_facts facts = Stream();
  facts.resumable = false;
  facts.mayRepeat = false;
  call_plan plan(facts, rig.board, budget, 1);
  const plan_step first = plan.Begin(now);
  plan.AnswerBegan();
  plan.EventPassed(3);
  const plan_step second = plan.Lost(As<send_step>(first).upstream, now);
  CHECK(As<cut_step>(second).cause == plan_cause::upstream_lost);
}

TEST(call_plan, LostNonIdempotentCallIsNeverSentAgainNorCalledNotRun)
{
  call_plan plan(Plain(routes::call_kind::non_idempotent), rig.board, budget, 1);
  const plan_step first = plan.Begin(now);
  const plan_step second = plan.Lost(As<send_step>(first).upstream, now);
  CHECK(std::holds_alternative<fail_step>(second));
}

TEST(call_plan, RefusedNonIdempotentCallGoesToAnotherUpstream)
{
  call_plan plan(Plain(routes::call_kind::non_idempotent), rig.board, budget, 1);
  const plan_step first = plan.Begin(now);
  const instance_id full = As<send_step>(first).upstream;
  const plan_step second = plan.NotRun(full, now);
  CHECK(As<send_step>(second).upstream != full);
  const plan_step third = plan.NotRun(As<send_step>(second).upstream, now);
  CHECK(As<refuse_step>(third).cause == plan_cause::upstream_full);
  CHECK(As<refuse_step>(third).retryAfter.ms > 0);
}

TEST(call_plan, AttemptsAreBounded)
{
  call_facts facts = Plain(routes::call_kind::idempotent);
  facts.maxAttempts = 1;
  call_plan plan(facts, rig.board, budget, 1);
  const plan_step first = plan.Begin(now);
  CHECK(std::holds_alternative<fail_step>(plan.Lost(As<send_step>(first).upstream, now)));
}

TEST(call_plan, SpentBudgetStopsRepeats)
{
  repeat_budget none{ { 0, 0, 10_s } };
  call_plan plan(Plain(routes::call_kind::idempotent), rig.board, none, 1);
  const plan_step first = plan.Begin(now);
  CHECK(std::holds_alternative<fail_step>(plan.Lost(As<send_step>(first).upstream, now)));
}

TEST(call_plan, UnreachableUpstreamIsNoAttempt)
{
  call_facts facts = Plain(routes::call_kind::non_idempotent);
  facts.maxAttempts = 1;
  call_plan plan(facts, rig.board, budget, 1);
  const plan_step first = plan.Begin(now);
  const instance_id dark = As<send_step>(first).upstream;
  const plan_step second = plan.NotSent(dark, now);
  CHECK(As<send_step>(second).upstream != dark);
  CHECK_FALSE(As<send_step>(second).repeat);
}

TEST(call_plan, WaitsAShortTimeForAGroupThenTellsWhenToComeBack)
{
  call_facts facts = Stream();
  facts.model = { "absent" };
  call_plan plan(facts, rig.board, budget, 1);
  CHECK(std::holds_alternative<wait_step>(plan.Begin(now)));
  const plan_step refused = plan.Retry(now + 2_s);
  CHECK(As<refuse_step>(refused).cause == plan_cause::no_upstream);
  CHECK(As<refuse_step>(refused).retryAfter.ms > 0);
}

TEST(call_plan, CallThatFindsNoPlaceInTimeIsRankedBehindThoseThatDo)
{
  for (const char* head : { "head-0", "head-1", "head-2" }) {
    rig.board.NoteLoad({ head }, { 17, 5, 17 }, now);
  }
  call_facts facts = Stream();
  facts.latencyTarget = 300_ms;
  call_plan plan(facts, rig.board, budget, 1);
  CHECK(std::holds_alternative<wait_step>(plan.Begin(now)));
  const plan_step step = plan.Retry(now + 200_ms);
  CHECK(As<send_step>(step).rank == urgency::late);
}

TEST(call_plan, CallThatCouldOnlyBeAnsweredAfterItsDeadlineIsRefusedAtOnce)
{
  for (const char* head : { "head-0", "head-1", "head-2" }) {
    rig.board.NoteLoad({ head }, { 17, 500, 17 }, now);
  }
  call_facts facts = Stream();
  facts.latencyTarget = 300_ms;
  call_plan plan(facts, rig.board, budget, 1);
  plan.Begin(now);
  const plan_step step = plan.Retry(now + 200_ms);
  CHECK(As<refuse_step>(step).cause == plan_cause::upstream_full);
}

TEST(call_plan, BegunStreamWaitsForItsNextGroupUntilTheDeadline)
{
  call_plan plan(Stream(), rig.board, budget, 1);
  const plan_step first = plan.Begin(now);
  plan.AnswerBegan();
  plan.EventPassed(1);
  for (const char* group : { "g0", "g1", "g2" }) {
    rig.board.MarkBroken({ group }, { 1 });
  }
  CHECK(std::holds_alternative<wait_step>(plan.Lost(As<send_step>(first).upstream, now)));
  CHECK(std::holds_alternative<wait_step>(plan.Retry(now + 2_s)));
  CHECK(std::holds_alternative<cut_step>(plan.Retry(now + 8_s)));
}

TEST(call_plan, TimeUpWithoutASendIsARefusal)
{
  call_facts facts = Stream();
  facts.model = { "absent" };
  call_plan plan(facts, rig.board, budget, 1);
  plan.Begin(now);
  CHECK(std::holds_alternative<refuse_step>(plan.TimeUp()));
}

TEST(call_plan, TimeUpWhileAnUpstreamHoldsItPromisesNothing)
{
  call_plan plan(Plain(routes::call_kind::non_idempotent), rig.board, budget, 1);
  plan.Begin(now);
  CHECK(std::holds_alternative<fail_step>(plan.TimeUp()));
}

TEST(call_plan, OnlyIdempotentCallsGetASecondUpstreamBesideASilentOne)
{
  call_plan once(Plain(routes::call_kind::non_idempotent), rig.board, budget, 1);
  once.Begin(now);
  CHECK_FALSE(once.Second(now).has_value());
  call_plan often(Plain(routes::call_kind::idempotent), rig.board, budget, 1);
  often.Begin(now);
  CHECK(often.Second(now).has_value());
  CHECK_FALSE(often.Second(now).has_value());
}
