#include "app/router/exchange.h"

#include "app/router/attemptheaders.h"
#include "app/router/problem.h"
#include "app/router/routerevents.h"
#include "app/router/routermetrics.h"
#include "routing/routingevents.h"
#include "routing/routingmetrics.h"

#include <algorithm>
#include <fmt/format.h>

// What an exchange answers to its caller.

namespace persimmon::router {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr int kOk = 200;
const std::string kEndOfStream = "data: [DONE]\n\n";

const char*
RanText(routing::execution_status aProof)
{
  return aProof == routing::execution_status::not_run ? "no" : "unknown";
}

} // namespace

void
exchange::Do(const routing::open_stream&)
{
  mContext.metrics.Observe(kFirstByteSeconds,
                           static_cast<double>((Now() - mStartedAt).ms) / kMsPerSecond,
                           { { "service", mRecord.service.value } });
  mResponder->StartStream(kOk, AnswerHeaders(mAttempt.head, mId));
  Do(routing::continue_stream{ mAttempt.number });
}

void
exchange::Do(const routing::continue_stream&)
{
  mRelaying = true;
  Write(mAttempt.held);
  mAttempt.held.clear();
}

void
exchange::Do(const routing::finish_stream&)
{
  mResponder->Write(kEndOfStream);
  mResponder->FinishStream();
  CountOutcome("answered");
}

void
exchange::Do(const routing::break_stream& aAction)
{
  mResponder->Write(RenderErrorEvent(aAction.why, mId));
  mResponder->Abort();
  WriteLog(kStreamBroken,
           { { "request", mId.value },
             { "service", mRecord.service.value },
             { "reason", std::string(routing::RefusalEntryFor(aAction.why.reason).code) },
             { "detail", aAction.why.detail } });
  CountOutcome("broken");
}

void
exchange::Do(const routing::deliver_answer&)
{
  entry::server_response response;
  response.status = mAttempt.head.status;
  response.headers = AnswerHeaders(mAttempt.head, mId);
  // A copy: the ledger may keep the answer as well.
  response.body = mAttempt.held;
  mResponder->Send(std::move(response));
  CountOutcome("answered");
}

void
exchange::Do(const routing::deliver_stored_answer&)
{
  entry::server_response response;
  response.status = mKnown.status;
  response.headers = { { "Content-Type", mKnown.contentType },
                       { "Persimmon-Request", mId.value },
                       { "Persimmon-Repeat", "true" } };
  response.body = std::move(mKnown.body);
  mResponder->Send(std::move(response));
  CountOutcome("answered");
}

void
exchange::Do(const routing::send_refusal& aAction)
{
  mResponder->Send(RenderProblem(aAction.why, mId));
  const std::string code(routing::RefusalEntryFor(aAction.why.reason).code);
  WriteLog(kRequestRefused,
           { { "request", mId.value },
             { "service", mRecord.service.value },
             { "customer", mCall.customer.value },
             { "reason", code },
             { "ran", RanText(aAction.why.ran) },
             { "detail", aAction.why.detail } });
  Note("refused",
       fmt::format("reason={} ran={} attempt_ran={} detail={}",
                   code,
                   RanText(aAction.why.ran),
                   RanText(aAction.why.attemptRan),
                   aAction.why.detail));
  CountOutcome("refused");
}

void
exchange::Do(const routing::close_intent& aAction)
{
  if (!mTicket) {
    return;
  }
  std::optional<ledger::stored_response> answer;
  if (aAction.outcome == routing::intent_outcome::answered) {
    answer = ledger::stored_response{ mAttempt.head.status,
                                      mAttempt.head.Header("Content-Type"),
                                      mAttempt.held };
  }
  mContext.ledger.Close(*mTicket, aAction.outcome, std::move(answer));
  mTicket.reset();
}

void
exchange::Do(const routing::end_request&)
{
  if (mTimer) {
    mLoop.CancelTimer(*mTimer);
  }
  mContext.registry.CarryOut(mCall.service->Leave(mId, Now()));
  mContext.metrics.Observe(kRequestSeconds,
                           static_cast<double>((Now() - mStartedAt).ms) / kMsPerSecond,
                           { { "service", mRecord.service.value } });
  mContext.decisions.Add(std::move(mRecord));
  mContext.registry.Remove(mId);
}

void
exchange::Note(std::string aWhat, std::string aDetail)
{
  mRecord.steps.push_back({ Now() - mStartedAt, std::move(aWhat), std::move(aDetail) });
}

void
exchange::CountOutcome(const char* aOutcome)
{
  mContext.metrics.Count(kRequestsTotal,
                         { { "service", mRecord.service.value },
                           { "customer", mCall.customer.value },
                           { "outcome", aOutcome } });
  if (std::string_view(aOutcome) == "answered") {
    WriteLog(kRequestAnswered,
             { { "request", mId.value },
               { "service", mRecord.service.value },
               { "customer", mCall.customer.value },
               { "attempts", std::to_string(mFlow.Attempts()) },
               { "ms", std::to_string((Now() - mStartedAt).ms) } });
    Note("answered", fmt::format("attempts={}", mFlow.Attempts()));
  }
}

} // namespace persimmon::router
