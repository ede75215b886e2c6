#include "routing/requestflow.h"

#include "base/random.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::routing;

namespace {

const time_point kNow{ 1000 };
const attempt_identity kIdentity{ "a", "verifier-llm", "v3", "7" };

template<typename Action>
const Action*
Find(const std::vector<flow_action>& aActions)
{
  for (const flow_action& action : aActions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

template<typename Action>
bool
Has(const std::vector<flow_action>& aActions)
{
  return Find<Action>(aActions) != nullptr;
}

flow_call
Call(bool aIdempotent, bool aStreamed)
{
  return { aIdempotent, aStreamed, true, kNow + 1_s };
}

flow_response_head
HeadOf(attempt_number aAttempt)
{
  return { aAttempt, 200, kIdentity, false, 0 };
}

flow_response_head
RefusalOf(attempt_number aAttempt, int aStatus)
{
  return { aAttempt, aStatus, kIdentity, true, 0 };
}

flow_attempt_ended
Ended(attempt_number aAttempt, bool aWhole, std::uint64_t aTokens = 0)
{
  return { aAttempt, aWhole, false, aTokens, {} };
}

/// Sends events to a flow and counts its dispatches, responses and ends.
class flow_driver
{
public:
  explicit flow_driver(const flow_call& aCall)
    : mFlow(aCall)
  {
  }

  std::vector<flow_action> Handle(const flow_event& aEvent)
  {
    std::vector<flow_action> actions = mFlow.Handle(aEvent, kNow);
    for (const flow_action& action : actions) {
      dispatches += std::holds_alternative<dispatch_attempt>(action) ? 1 : 0;
      responses += IsFinalResponse(action) ? 1 : 0;
      ends += std::holds_alternative<end_request>(action) ? 1 : 0;
    }
    return actions;
  }

  /// Advances the flow to its first dispatch.
  void Dispatch(bool aIdempotent)
  {
    Handle(flow_started{});
    Handle(flow_admitted{});
    if (!aIdempotent) {
      Handle(flow_intent_granted{});
    }
    Handle(flow_upstream_chosen{ kIdentity });
  }

  /// Advances a streamed flow until it relays its first attempt.
  void Stream()
  {
    Dispatch(true);
    Handle(HeadOf(1));
    Handle(flow_first_bytes{ 1 });
  }

  int dispatches = 0;
  int responses = 0;
  int ends = 0;

private:
  static bool IsFinalResponse(const flow_action& aAction)
  {
    return std::holds_alternative<finish_stream>(aAction) ||
           std::holds_alternative<break_stream>(aAction) ||
           std::holds_alternative<deliver_answer>(aAction) ||
           std::holds_alternative<deliver_stored_answer>(aAction) ||
           std::holds_alternative<send_refusal>(aAction);
  }

  request_flow mFlow;
};

} // namespace

// clang-format off
TEST_GROUP(request_flow){};
// clang-format on

TEST(request_flow, WholeAnswerIsDeliveredOnce)
{
  flow_driver flow(Call(true, false));
  flow.Dispatch(true);
  CHECK(flow.Handle(HeadOf(1)).empty());
  const auto actions = flow.Handle(Ended(1, true));
  CHECK(Has<deliver_answer>(actions));
  CHECK(flow.Handle(Ended(1, true)).empty());
  CHECK_EQUAL(1, flow.responses);
}

TEST(request_flow, StreamIsNotOpenedBeforeItsFirstBytes)
{
  flow_driver flow(Call(true, true));
  flow.Dispatch(true);
  CHECK(flow.Handle(HeadOf(1)).empty());
  CHECK(Has<open_stream>(flow.Handle(flow_first_bytes{ 1 })));
  CHECK(Has<finish_stream>(flow.Handle(Ended(1, true))));
}

TEST(request_flow, StreamWithoutEndMarkerIsBrokenNotFinished)
{
  flow_driver flow(Call(true, true));
  flow.Stream();
  flow.Handle(Ended(1, false, 5));
  const auto actions = flow.Handle(flow_retry_decided{ retry_verdict::partly_delivered });
  CHECK(Find<break_stream>(actions)->why.attemptRan == execution_status::unknown);
  CHECK_FALSE(Has<finish_stream>(actions));
}

TEST(request_flow, HeadWithAnotherIdentityIsDiscardedAndExecutionIsUnknown)
{
  for (int member = 0; member < 4; ++member) {
    flow_driver flow(Call(false, false));
    flow.Dispatch(false);
    flow_response_head head = HeadOf(1);
    std::string* const identities[] = { &head.identity.attempt,
                                        &head.identity.service,
                                        &head.identity.version,
                                        &head.identity.generation };
    *identities[member] = "other";
    const auto actions = flow.Handle(head);
    CHECK(Has<cancel_attempt>(actions));
    CHECK(Find<send_refusal>(actions)->why.reason == refusal_reason::upstream_mismatch);
    CHECK(Find<send_refusal>(actions)->why.ran == execution_status::unknown);
    CHECK(Find<close_intent>(actions)->outcome == intent_outcome::unknown);
  }
}

TEST(request_flow, RefusalWithAnotherAttemptIdDoesNotProveNotRun)
{
  flow_driver flow(Call(false, false));
  flow.Dispatch(false);
  flow_response_head head = RefusalOf(1, 503);
  head.identity.attempt = "other";
  CHECK(Find<send_refusal>(flow.Handle(head))->why.ran == execution_status::unknown);
}

TEST(request_flow, LateEventsOfAnEarlierAttemptAreIgnored)
{
  flow_driver flow(Call(true, false));
  flow.Dispatch(true);
  flow.Handle(Ended(1, false));
  flow.Handle(flow_retry_decided{ retry_verdict::repeat });
  flow.Handle(flow_upstream_chosen{ kIdentity });
  CHECK(flow.Handle(HeadOf(1)).empty());
  CHECK(flow.Handle(Ended(1, true)).empty());
  flow.Handle(HeadOf(2));
  CHECK(Has<deliver_answer>(flow.Handle(Ended(2, true))));
}

TEST(request_flow, AttemptThatEndsBeforeItsHeadIsAFailure)
{
  flow_driver flow(Call(true, false));
  flow.Dispatch(true);
  CHECK(Has<request_retry>(flow.Handle(Ended(1, true))));
}

TEST(request_flow, FailureBeforeTheFirstByteIsRetriedOnlyIfIdempotent)
{
  flow_driver idempotent(Call(true, true));
  idempotent.Dispatch(true);
  const auto retryRequested = idempotent.Handle(Ended(1, false));
  CHECK_EQUAL(0, static_cast<int>(Find<request_retry>(retryRequested)->failed.bytesDelivered));

  flow_driver nonIdempotent(Call(false, false));
  nonIdempotent.Dispatch(false);
  const auto refused = nonIdempotent.Handle(Ended(1, false));
  CHECK(Find<send_refusal>(refused)->why.attemptRan == execution_status::unknown);
  CHECK_EQUAL(1, nonIdempotent.dispatches);
}

TEST(request_flow, CallThatWasNotSentIsReportedAsNotRun)
{
  flow_driver flow(Call(false, false));
  flow.Dispatch(false);
  const auto actions = flow.Handle(flow_attempt_ended{ 1, false, true, 0, {} });
  CHECK(Find<send_refusal>(actions)->why.ran == execution_status::not_run);
  CHECK(Find<close_intent>(actions)->outcome == intent_outcome::not_run);
}

TEST(request_flow, CallThatWasNotSentIsRetriedLikeAfterADrainingRefusal)
{
  flow_driver flow(Call(true, false));
  flow.Dispatch(true);
  const auto retryRequested = flow.Handle(flow_attempt_ended{ 1, false, true, 0, {} });
  CHECK(Find<request_retry>(retryRequested)->failed.draining);
  CHECK_FALSE(Find<request_retry>(flow.Handle(Ended(1, false))));
}

TEST(request_flow, ExecutionIsUnknownWhenAnEarlierAttemptMayHaveRun)
{
  flow_driver flow(Call(true, false));
  flow.Dispatch(true);
  flow.Handle(Ended(1, false));
  flow.Handle(flow_retry_decided{ retry_verdict::repeat });
  flow.Handle(flow_upstream_chosen{ kIdentity });
  flow.Handle(RefusalOf(2, 503));
  const auto actions = flow.Handle(flow_retry_decided{ retry_verdict::attempts_spent });
  CHECK(Find<send_refusal>(actions)->why.ran == execution_status::unknown);
}

TEST(request_flow, RefusedAttemptsAreReportedAsNotRun)
{
  flow_driver flow(Call(true, false));
  flow.Dispatch(true);
  const auto retryRequested = flow.Handle(RefusalOf(1, 503));
  CHECK(Has<cancel_attempt>(retryRequested));
  CHECK(Find<request_retry>(retryRequested)->failed.provedNotRun);
  const auto actions = flow.Handle(flow_retry_decided{ retry_verdict::budget_spent });
  CHECK(Find<send_refusal>(actions)->why.reason == refusal_reason::retry_budget_spent);
  CHECK(Find<send_refusal>(actions)->why.ran == execution_status::not_run);
}

TEST(request_flow, OtherErrorStatusesAreDeliveredAsTheAnswer)
{
  flow_driver flow(Call(true, true));
  flow.Dispatch(true);
  flow_response_head head = HeadOf(1);
  head.status = 400;
  CHECK(flow.Handle(head).empty());
  CHECK(flow.Handle(flow_first_bytes{ 1 }).empty());
  CHECK(Has<deliver_answer>(flow.Handle(Ended(1, true))));
}

TEST(request_flow, StreamResumesAfterTheTokensDelivered)
{
  flow_driver flow(Call(true, true));
  flow.Stream();
  flow.Handle(Ended(1, false, 5));
  flow.Handle(flow_retry_decided{ retry_verdict::resume });
  const auto actions = flow.Handle(flow_upstream_chosen{ kIdentity });
  CHECK_EQUAL(5, static_cast<int>(Find<dispatch_attempt>(actions)->resumeAfter));
  flow_response_head head = HeadOf(2);
  head.resumedAfter = 5;
  CHECK(Has<continue_stream>(flow.Handle(head)));
  CHECK(Has<finish_stream>(flow.Handle(Ended(2, true, 9))));
}

TEST(request_flow, StreamThatRestartsInsteadOfResumingIsNotRelayed)
{
  flow_driver flow(Call(true, true));
  flow.Stream();
  flow.Handle(flow_upstream_lost{ 1, 5 });
  flow.Handle(flow_retry_decided{ retry_verdict::resume });
  flow.Handle(flow_upstream_chosen{ kIdentity });
  const auto actions = flow.Handle(HeadOf(2));
  CHECK(Has<cancel_attempt>(actions));
  CHECK_FALSE(Has<continue_stream>(actions));
}

TEST(request_flow, StreamDoesNotResumeOnAnotherVersion)
{
  flow_driver flow(Call(true, true));
  flow.Stream();
  flow.Handle(Ended(1, false, 5));
  flow.Handle(flow_retry_decided{ retry_verdict::resume });
  attempt_identity newer = kIdentity;
  newer.version = "v4";
  CHECK(Has<break_stream>(flow.Handle(flow_upstream_chosen{ newer })));
  CHECK_EQUAL(1, flow.dispatches);
}

TEST(request_flow, CallerDisconnectCancelsTheAttempt)
{
  flow_driver flow(Call(true, true));
  flow.Stream();
  const auto actions = flow.Handle(flow_caller_disconnected{});
  CHECK(Has<cancel_attempt>(actions));
  CHECK(Has<end_request>(actions));
}

TEST(request_flow, NonIdempotentCallContinuesAfterCallerDisconnect)
{
  flow_driver flow(Call(false, false));
  flow.Dispatch(false);
  CHECK(flow.Handle(flow_caller_disconnected{}).empty());
  flow.Handle(HeadOf(1));
  const auto actions = flow.Handle(Ended(1, true));
  CHECK(Find<close_intent>(actions)->outcome == intent_outcome::answered);
}

TEST(request_flow, IntentGrantedAfterCallerDisconnectIsNotDispatched)
{
  flow_driver flow(Call(false, false));
  flow.Handle(flow_started{});
  flow.Handle(flow_admitted{});
  flow.Handle(flow_caller_disconnected{});
  const auto actions = flow.Handle(flow_intent_granted{});
  CHECK(Find<close_intent>(actions)->outcome == intent_outcome::not_run);
  CHECK_EQUAL(0, flow.dispatches);
}

TEST(request_flow, IntentGrantedAfterTheDeadlineIsClosedAsNotRun)
{
  flow_driver flow(Call(false, false));
  flow.Handle(flow_started{});
  flow.Handle(flow_admitted{});
  const auto refused = flow.Handle(flow_deadline_passed{});
  CHECK(Find<send_refusal>(refused)->why.attemptRan == execution_status::not_run);
  CHECK(Find<send_refusal>(refused)->why.ran == execution_status::unknown);
  const auto afterEnd = flow.Handle(flow_intent_granted{});
  CHECK(Find<close_intent>(afterEnd)->outcome == intent_outcome::not_run);
  CHECK_EQUAL(0, flow.dispatches);
}

TEST(request_flow, EarlierExecutionIsUnknownBeforeTheLedgerReplied)
{
  flow_driver flow(Call(false, false));
  flow.Handle(flow_started{});
  const auto actions = flow.Handle(flow_not_admitted{ refusal_reason::queue_full, 1_s });
  CHECK(Find<send_refusal>(actions)->why.attemptRan == execution_status::not_run);
  CHECK(Find<send_refusal>(actions)->why.ran == execution_status::unknown);
}

TEST(request_flow, DeadlineCancelsAndReportsNotRunOnlyBeforeDispatch)
{
  flow_driver waiting(Call(true, false));
  waiting.Handle(flow_started{});
  CHECK(Find<send_refusal>(waiting.Handle(flow_deadline_passed{}))->why.ran ==
        execution_status::not_run);

  flow_driver running(Call(true, false));
  running.Dispatch(true);
  const auto actions = running.Handle(flow_deadline_passed{});
  CHECK(Has<cancel_attempt>(actions));
  CHECK(Find<send_refusal>(actions)->why.ran == execution_status::unknown);
}

TEST(request_flow, RandomEventOrderEndsOnceAndDispatchesNonIdempotentCallsOnce)
{
  const std::vector<flow_event> events{ flow_started{},
                                        flow_admitted{},
                                        flow_not_admitted{},
                                        flow_intent_granted{},
                                        flow_stored_answer_found{},
                                        flow_intent_denied{},
                                        flow_upstream_chosen{ kIdentity },
                                        flow_no_upstream{},
                                        HeadOf(1),
                                        HeadOf(2),
                                        RefusalOf(1, 503),
                                        flow_first_bytes{ 1 },
                                        flow_first_bytes{ 2 },
                                        Ended(1, true),
                                        Ended(1, false),
                                        Ended(2, true),
                                        flow_answer_too_large{ 1 },
                                        flow_upstream_lost{ 1 },
                                        flow_retry_decided{ retry_verdict::repeat },
                                        flow_retry_decided{ retry_verdict::resume },
                                        flow_caller_disconnected{},
                                        flow_deadline_passed{},
                                        flow_stop{} };
  constexpr int kRuns = 20000;
  constexpr int kSteps = 40;
  random_source random(1);
  for (int run = 0; run < kRuns; ++run) {
    const bool idempotent = random.Chance(0.5);
    flow_driver flow(Call(idempotent, random.Chance(0.5)));
    flow.Handle(flow_started{});
    for (int step = 0; step < kSteps; ++step) {
      flow.Handle(events[random.Below(events.size())]);
    }
    flow.Handle(flow_stop{});
    CHECK_EQUAL(1, flow.ends);
    CHECK(flow.responses <= 1);
    CHECK(idempotent || flow.dispatches <= 1);
  }
}
