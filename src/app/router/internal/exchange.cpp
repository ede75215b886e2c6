#include "app/router/exchange.h"

#include "app/router/attemptheaders.h"
#include "app/router/problem.h"
#include "app/router/routerevents.h"
#include "app/router/routermetrics.h"
#include "routing/routingevents.h"
#include "routing/routingmetrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::router {
namespace {

constexpr std::size_t kMaxAnswerBytes = 16U << 20U;
/// Bytes that a slow caller may leave untaken before the upstream is made to wait.
constexpr std::size_t kMaxPendingBytes = 256U << 10U;
constexpr duration kCallGrace = 1_s;
/// Between the signs of life that a stream gives to the choice of upstreams.
constexpr duration kProgressInterval = 500_ms;
constexpr duration kOutageRetry = 2_s;
constexpr double kMsPerSecond = 1000;
constexpr int kOk = 200;
const std::string kEndOfStream = "data: [DONE]\n\n";

routing::flow_call
FlowCallOf(const parsed_call& aCall, time_point aDeadline)
{
  routing::flow_call call;
  call.idempotent = aCall.idempotent;
  call.streamed = aCall.streamed;
  call.resumable = aCall.streamed;
  call.deadline = aDeadline;
  return call;
}

const char*
RanText(routing::ran_proof aProof)
{
  return aProof == routing::ran_proof::no ? "no" : "unknown";
}

} // namespace

exchange::exchange(request_id aId,
                   parsed_call aCall,
                   entry::server_request aRequest,
                   std::shared_ptr<entry::responder> aResponder,
                   upstream::upstream_loop& aLoop,
                   exchange_context& aContext)
  : mId(std::move(aId))
  , mCall(std::move(aCall))
  , mRequest(std::move(aRequest))
  , mResponder(std::move(aResponder))
  , mLoop(aLoop)
  , mContext(aContext)
  , mStartedAt(Now())
  , mDeadline(mStartedAt + mCall.deadline)
  , mFlow(FlowCallOf(mCall, mDeadline))
{
  mRecord.request = mId;
  mRecord.service = mCall.service->Name();
  mRecord.customer = mCall.customer;
}

time_point
exchange::Now() const
{
  return steady_clock().Now();
}

void
exchange::Start()
{
  mContext.registry.Add(mId, shared_from_this());
  const std::weak_ptr<exchange> weak = weak_from_this();
  mResponder->OnLeave([weak] {
    if (const auto self = weak.lock()) {
      self->Post(routing::flow_caller_left{});
    }
  });
  mResponder->OnDrain([weak] {
    if (const auto self = weak.lock()) {
      self->mLoop.Post([self] { self->OnDrain(); });
    }
  });
  Post(routing::flow_started{});
}

void
exchange::Post(routing::flow_event aEvent)
{
  mLoop.Post([self = shared_from_this(), event = std::move(aEvent)] { self->Handle(event); });
}

void
exchange::Handle(const routing::flow_event& aEvent)
{
  for (const routing::flow_action& action : mFlow.Handle(aEvent, Now())) {
    std::visit([this](const auto& aKind) { Do(aKind); }, action);
  }
}

void
exchange::Do(const routing::set_timer& aAction)
{
  mTimer = mLoop.After(aAction.at - Now(), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Handle(routing::flow_deadline_passed{});
    }
  });
}

void
exchange::Do(const routing::ask_admission&)
{
  const routing::poison_check poison = mContext.suspects.Check(mCall.fingerprint, Now());
  if (poison.verdict == routing::poison_verdict::quarantined) {
    RecordQuarantine(poison.remaining);
    Handle(
      routing::flow_not_admitted{ routing::refusal_reason::request_quarantined, poison.remaining });
    return;
  }
  if (mCall.service->IsOut(Now())) {
    Handle(routing::flow_not_admitted{ routing::refusal_reason::no_upstream, kOutageRetry });
    return;
  }
  const routing::admission_request request{ mId, mCall.customer, mCall.priority, mDeadline };
  const auto actions = mCall.service->Arrive(request, Now());
  const bool decided = std::any_of(
    actions.begin(), actions.end(), [this](const auto& aAction) { return aAction.request == mId; });
  if (!decided) {
    WriteLog(routing::kRequestQueued,
             { { "request", mId.value },
               { "service", mRecord.service.value },
               { "customer", mRecord.customer.value },
               { "waiting", std::to_string(mCall.service->Waiting()) } });
  }
  mContext.registry.CarryOut(actions);
}

void
exchange::RecordAdmission(const routing::admission_action& aAction) const
{
  const std::string verdict = routing::AdmissionVerdictName(aAction.verdict);
  mContext.metrics.Count(routing::kAdmissionsTotal,
                         { { "service", mCall.service->Name().value },
                           { "customer", mCall.customer.value },
                           { "verdict", verdict } });
  if (aAction.verdict == routing::admission_verdict::start) {
    mContext.metrics.Observe(routing::kAdmissionWaitSeconds,
                             static_cast<double>(aAction.waited.ms) / kMsPerSecond,
                             { { "service", mCall.service->Name().value } });
    return;
  }
  WriteLog(routing::kRequestNotAdmitted,
           { { "request", mId.value },
             { "service", mCall.service->Name().value },
             { "customer", mCall.customer.value },
             { "reason", verdict },
             { "retry_after_ms", std::to_string(aAction.retryAfter.ms) },
             { "waited_ms", std::to_string(aAction.waited.ms) } });
}

void
exchange::RecordQuarantine(duration aRemaining) const
{
  WriteLog(routing::kQuarantinedRefused,
           { { "request", mId.value },
             { "fingerprint", fmt::format("{:016x}", mCall.fingerprint) },
             { "service", mCall.service->Name().value },
             { "customer", mCall.customer.value },
             { "retry_after_ms", std::to_string(aRemaining.ms) } });
}

void
exchange::Do(const routing::ask_intent&)
{
  mContext.ledger.Begin(
    mCall, mRequest.body, mDeadline - Now(), [self = shared_from_this()](ledger_answer aAnswer) {
      self->mLoop.Post(
        [self, answer = std::move(aAnswer)]() mutable { self->OnLedgerAnswer(std::move(answer)); });
    });
}

void
exchange::OnLedgerAnswer(ledger_answer aAnswer)
{
  mTicket = std::move(aAnswer.ticket);
  if (aAnswer.known) {
    mKnown = std::move(*aAnswer.known);
  }
  Note("ledger_asked", mTicket ? "verdict=granted" : "verdict=not_granted");
  Handle(aAnswer.event);
}

void
exchange::Do(const routing::ask_upstream&)
{
  routing::choice_request request;
  request.prefix = mCall.prefix;
  request.excluded = mTried;
  const routing::poison_check poison = mContext.suspects.Check(mCall.fingerprint, Now());
  if (poison.verdict == routing::poison_verdict::quarantined) {
    RecordQuarantine(poison.remaining);
    Handle(
      routing::flow_no_upstream{ routing::refusal_reason::request_quarantined, poison.remaining });
    return;
  }
  if (poison.verdict == routing::poison_verdict::isolate) {
    for (routing::upstream_id& upstream : mContext.suspects.UpstreamsWithSuspects()) {
      request.excluded.push_back(std::move(upstream));
    }
    Note("isolated", "suspected of having killed an upstream");
  }
  mAttempt.chosen = mCall.service->Choose(request, Now());
  const routing::upstream_choice& choice = mAttempt.chosen.choice;
  const std::string why = routing::ChoiceReasonName(choice.why);
  mContext.metrics.Count(routing::kChoicesTotal,
                         { { "service", mRecord.service.value }, { "reason", why } });
  if (!choice.target) {
    WriteLog(routing::kNoUpstream,
             { { "request", mId.value }, { "service", mRecord.service.value }, { "reason", why } });
    Note("no_upstream", "reason=" + why);
    Handle(routing::flow_no_upstream{ routing::refusal_reason::no_upstream, 1_s });
    return;
  }
  mAttempt.number = mFlow.Attempts() + 1;
  mAttempt.id.value = fmt::format("{}.{}", mId.value, mAttempt.number);
  WriteLog(routing::kUpstreamChosen,
           { { "request", mId.value },
             { "attempt", mAttempt.id.value },
             { "service", mRecord.service.value },
             { "upstream", choice.target->id.value },
             { "generation", std::to_string(choice.target->version.value) },
             { "reason", why },
             { "load", std::to_string(choice.load) } });
  Note("upstream_chosen",
       fmt::format("attempt={} upstream={} address={} reason={} load={} candidates={}",
                   mAttempt.id.value,
                   choice.target->id.value,
                   choice.target->address.value,
                   why,
                   choice.load,
                   mCall.service->View()->EligibleCount(Now())));
  mAttempt.dispatched = false;
  Handle(routing::flow_upstream_chosen{ ExpectedIdentity(*choice.target, mAttempt.id) });
  if (!mAttempt.dispatched) {
    mCall.service->FinishAttempt(
      mAttempt.chosen.ticket, { routing::attempt_outcome::cancelled, 0 }, Now());
  }
}

void
exchange::Do(const routing::ask_retry& aAction)
{
  if (mProbing) {
    mRetryAsked = aAction.failed;
  } else {
    DecideRetry(aAction.failed);
  }
}

void
exchange::ProbeUpstream()
{
  mProbing = true;
  const routing::upstream& target = *mAttempt.chosen.choice.target;
  mContext.prober.Probe(
    target, [self = shared_from_this(), attempt = mAttempt.id, id = target.id](bool aDied) {
      self->mLoop.Post([self, attempt, id, aDied] { self->OnProbed(attempt, id, aDied); });
    });
}

void
exchange::OnProbed(const attempt_id& aAttempt, const routing::upstream_id& aUpstream, bool aDied)
{
  mProbing = false;
  if (aDied) {
    WriteLog(routing::kUpstreamDied,
             { { "service", mRecord.service.value }, { "upstream", aUpstream.value } });
    mContext.metrics.Count(routing::kUpstreamDeathsTotal, { { "service", mRecord.service.value } });
    mContext.suspects.Died(aUpstream, Now());
  }
  mContext.suspects.Ended(aAttempt);
  if (mRetryAsked) {
    const routing::failed_attempt failed = *mRetryAsked;
    mRetryAsked.reset();
    DecideRetry(failed);
  }
}

void
exchange::UpstreamLost(const routing::upstream_id& aUpstream, generation aVersion)
{
  mLoop.Post([self = shared_from_this(), aUpstream, aVersion] {
    const auto& target = self->mAttempt.chosen.choice.target;
    if (target && target->id == aUpstream && target->version == aVersion && !self->mEndTold) {
      self->mBroken = true;
      self->Handle(routing::flow_upstream_lost{ self->mAttempt.number, self->mFramer.Events() });
    }
  });
}

void
exchange::DecideRetry(const routing::failed_attempt& aFailed)
{
  const routing::retry_verdict verdict = mCall.service->DecideRetry(aFailed, Now());
  const std::string name = routing::RetryVerdictName(verdict);
  mContext.metrics.Count(routing::kRetriesTotal,
                         { { "service", mRecord.service.value }, { "verdict", name } });
  WriteLog(routing::kRetryDecided,
           { { "request", mId.value },
             { "attempt", mAttempt.id.value },
             { "service", mRecord.service.value },
             { "verdict", name } });
  Note("retry_decided", "verdict=" + name);
  Handle(routing::flow_retry_decided{ verdict });
}

void
exchange::RecordAttempt(std::uint64_t aResumeAfter)
{
  const routing::upstream& target = *mAttempt.chosen.choice.target;
  history::event event;
  event.kind = history::event_kind::attempted;
  event.request = mId.value;
  event.attempt = mAttempt.id.value;
  event.key = mCall.key.value;
  event.service = mRecord.service.value;
  event.customer = mCall.customer.value;
  event.instance = target.members.empty() ? target.id.value : target.members.front().value;
  event.incarnation = target.life.value;
  event.group = target.group.value;
  event.generation = target.version.value;
  event.once = !mCall.idempotent;
  event.streamed = mCall.streamed;
  if (aResumeAfter > 0) {
    event.detail = fmt::format("resume_after={}", aResumeAfter);
  }
  mContext.history.Write(std::move(event));
}

upstream::call_handlers
exchange::HandlersFor(routing::attempt_number aAttempt)
{
  const auto self = shared_from_this();
  return {
    [self, aAttempt](const upstream::response_head& aHead) { self->OnHead(aAttempt, aHead); },
    [self, aAttempt](std::string_view aBytes) { self->OnData(aAttempt, aBytes); },
    [self, aAttempt](const upstream::call_outcome& aOutcome) { self->OnDone(aAttempt, aOutcome); }
  };
}

void
exchange::Do(const routing::dispatch_attempt& aAction)
{
  const routing::upstream& target = *mAttempt.chosen.choice.target;
  mAttempt.held.clear();
  mAttempt.head = {};
  mAttempt.dispatched = true;
  mEndTold = false;
  mNextProgress = {};
  mTried.push_back(target.id);
  mFramer.DropPartial();
  mBroken = false;
  RecordAttempt(aAction.resumeAfter);
  mContext.suspects.Started(mAttempt.id, mCall.fingerprint, target.id, Now());
  upstream::upstream_call call;
  call.address = target.address;
  call.method = mCall.method;
  call.target = mCall.target;
  call.headers = AttemptHeaders(mRequest, mCall, mId, mAttempt.id, target, aAction.resumeAfter);
  call.body = mRequest.body;
  call.timeout = mDeadline - Now() + kCallGrace;
  call.freshConnection = !mCall.idempotent;
  mAttempt.call = mLoop.Start(std::move(call), HandlersFor(aAction.attempt));
}

void
exchange::Do(const routing::cancel_attempt&)
{
  mRelaying = false;
  mEndTold = true;
  mLoop.Cancel(mAttempt.call);
  Note("attempt_cancelled", "attempt=" + mAttempt.id.value);
}

void
exchange::Do(const routing::report_attempt& aAction)
{
  static constexpr std::array kNames{ "completed", "refused", "failed", "cancelled" };
  const char* name = kNames[static_cast<std::size_t>(aAction.outcome)];
  const auto tokens = static_cast<std::uint32_t>(mFramer.Events());
  mCall.service->FinishAttempt(mAttempt.chosen.ticket, { aAction.outcome, tokens }, Now());
  if (aAction.outcome == routing::attempt_outcome::completed) {
    mContext.suspects.Completed(mAttempt.id, Now());
  } else if (aAction.outcome == routing::attempt_outcome::failed && mBroken) {
    ProbeUpstream();
  } else {
    mContext.suspects.Ended(mAttempt.id);
  }
  mContext.metrics.Count(kAttemptsTotal,
                         { { "service", mRecord.service.value }, { "outcome", name } });
  Note("attempt_ended", fmt::format("attempt={} outcome={}", mAttempt.id.value, name));
}

bool
exchange::StreamExpected() const
{
  return mCall.streamed && mAttempt.head.status == kOk;
}

void
exchange::OnHead(routing::attempt_number aAttempt, const upstream::response_head& aHead)
{
  if (aAttempt != mAttempt.number) {
    return;
  }
  mAttempt.head = aHead;
  if (const auto load = ReadLoad(aHead, Now())) {
    mCall.service->Report(mAttempt.chosen.ticket.slot, *load);
  }
  Handle(ReadHead(aHead, aAttempt));
}

void
exchange::OnData(routing::attempt_number aAttempt, std::string_view aBytes)
{
  if (aAttempt != mAttempt.number || mEndTold) {
    return;
  }
  if (StreamExpected()) {
    OnStreamData(aBytes);
    return;
  }
  if (mAttempt.held.size() + aBytes.size() > kMaxAnswerBytes) {
    Handle(routing::flow_answer_too_large{ aAttempt });
    return;
  }
  mAttempt.held.append(aBytes);
}

void
exchange::OnStreamData(std::string_view aBytes)
{
  const std::string_view whole = mFramer.Accept(aBytes);
  if (mRelaying) {
    Write(whole);
  } else if (!whole.empty()) {
    mAttempt.held.append(whole);
    Handle(routing::flow_first_bytes{ mAttempt.number });
  }
  if (mFramer.SawEnd()) {
    EndAttempt(true, {});
  } else {
    TellProgress();
  }
}

void
exchange::TellProgress()
{
  const time_point now = Now();
  if (mEndTold || now < mNextProgress) {
    return;
  }
  mNextProgress = now + kProgressInterval;
  const auto tokens = static_cast<std::uint32_t>(mFramer.Events());
  mCall.service->Progress(mAttempt.chosen.ticket, tokens, now);
}

void
exchange::Write(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  mResponder->Write(aBytes);
  if (!mPaused && mResponder->PendingBytes() > kMaxPendingBytes) {
    mPaused = true;
    mLoop.Pause(mAttempt.call);
  }
}

void
exchange::OnDrain()
{
  if (mPaused) {
    mPaused = false;
    mLoop.Resume(mAttempt.call);
  }
}

void
exchange::OnDone(routing::attempt_number aAttempt, const upstream::call_outcome& aOutcome)
{
  if (aAttempt == mAttempt.number) {
    // A stream is whole when its end mark has come, which was told before.
    EndAttempt(aOutcome.end == upstream::call_end::whole && !StreamExpected(), aOutcome);
  }
}

void
exchange::EndAttempt(bool aWhole, const upstream::call_outcome& aOutcome)
{
  if (mEndTold) {
    return;
  }
  mEndTold = true;
  mRelaying = false;
  mBroken = !aWhole && aOutcome.end == upstream::call_end::maybe_sent;
  if (!aWhole) {
    WriteLog(kAttemptFailed,
             { { "request", mId.value },
               { "attempt", mAttempt.id.value },
               { "upstream", mAttempt.chosen.choice.target->id.value },
               { "detail", aOutcome.detail } });
  }
  Handle(routing::flow_attempt_ended{ mAttempt.number,
                                      aWhole,
                                      aOutcome.end == upstream::call_end::not_sent,
                                      mFramer.Events(),
                                      aOutcome.detail });
}

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
             { "reason", std::string(routing::RefusalOf(aAction.why.reason).code) },
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
exchange::Do(const routing::deliver_known_answer&)
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
  const std::string code(routing::RefusalOf(aAction.why.reason).code);
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
  std::optional<ledger::stored_answer> answer;
  if (aAction.outcome == routing::intent_outcome::done) {
    answer = ledger::stored_answer{ mAttempt.head.status,
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
