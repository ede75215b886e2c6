#include "app/router/exchange.h"

#include "app/router/attemptheaders.h"
#include "app/router/problem.h"
#include "app/router/routerevents.h"
#include "app/router/routermetrics.h"
#include "poison/poisonevents.h"
#include "poison/suspicionlog.h"
#include "routing/routingevents.h"
#include "routing/routingmetrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::router {
namespace {

constexpr duration kOutageRetry = 2_s;
constexpr double kMsPerSecond = 1000;

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
  , mDeadline(mRequest.receivedAt.value_or(mStartedAt) + mCall.deadline)
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
      self->Post(routing::flow_caller_disconnected{});
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
exchange::Do(const routing::request_admission&)
{
  const poison::poison_check poison = mContext.suspects.Check(mCall.fingerprint, Now());
  if (poison.verdict == poison::poison_verdict::quarantined) {
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
  WriteLog(poison::kQuarantinedRefused,
           { { "request", mId.value },
             { "fingerprint", poison::FingerprintText(mCall.fingerprint) },
             { "service", mCall.service->Name().value },
             { "customer", mCall.customer.value },
             { "retry_after_ms", std::to_string(aRemaining.ms) } });
}

void
exchange::Do(const routing::request_intent&)
{
  mContext.ledger.Begin(mCall,
                        mRequest.body.Text(),
                        mDeadline - Now(),
                        [self = shared_from_this()](ledger_answer aAnswer) {
                          self->mLoop.Post([self, answer = std::move(aAnswer)]() mutable {
                            self->OnLedgerAnswer(std::move(answer));
                          });
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
exchange::Do(const routing::request_upstream&)
{
  if (mResponder->HasCallerLeft()) {
    Handle(routing::flow_caller_disconnected{});
    return;
  }
  routing::choice_request request;
  request.prefix = mCall.prefix;
  request.excluded = mTried;
  const poison::poison_check poison = mContext.suspects.Check(mCall.fingerprint, Now());
  if (poison.verdict == poison::poison_verdict::quarantined) {
    RecordQuarantine(poison.remaining);
    Handle(
      routing::flow_no_upstream{ routing::refusal_reason::request_quarantined, poison.remaining });
    return;
  }
  if (poison.verdict == poison::poison_verdict::isolate) {
    for (upstream_id& upstream : mContext.suspects.UpstreamsWithSuspects()) {
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
             { "generation", std::to_string(choice.target->generation.value) },
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
exchange::Do(const routing::request_retry& aAction)
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
exchange::OnProbed(const attempt_id& aAttempt, const upstream_id& aUpstream, bool aDied)
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
exchange::UpstreamLost(const upstream_id& aUpstream, generation aVersion)
{
  mLoop.Post([self = shared_from_this(), aUpstream, aVersion] {
    const auto& target = self->mAttempt.chosen.choice.target;
    if (target && target->id == aUpstream && target->generation == aVersion && !self->mEndTold) {
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
  event.incarnation = target.incarnationId.value;
  event.group = target.group.value;
  event.generation = target.generation.value;
  event.once = !mCall.idempotent;
  event.streamed = mCall.streamed;
  if (aResumeAfter > 0) {
    event.detail = fmt::format("resume_after={}", aResumeAfter);
  }
  mContext.history.Write(std::move(event));
}

} // namespace persimmon::router
