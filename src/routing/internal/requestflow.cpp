#include "routing/requestflow.h"

namespace persimmon::routing {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr duration kDefaultRetryAfter = 1_s;

/// Returns true for statuses of refusals that another upstream might not return.
bool
IsRefusalStatus(int aStatus)
{
  return aStatus == kConflict || aStatus == kTooManyRequests || aStatus == kServiceUnavailable;
}

/// Compares a member of the identity; an empty expected value matches any.
bool
Matches(const std::string& aExpected, const std::string& aFound)
{
  return aExpected.empty() || aExpected == aFound;
}

/// Returns the reason for the refusal when a failed attempt is not retried.
refusal_reason
RefusalReasonFor(retry_verdict aVerdict, refusal_reason aFailure)
{
  return aVerdict == retry_verdict::budget_spent ? refusal_reason::retry_budget_spent : aFailure;
}

} // namespace

request_flow::request_flow(const flow_call& aCall)
  : mCall(aCall)
  , mEarlierExecution(aCall.idempotent ? execution_status::not_run : execution_status::unknown)
{
}

std::vector<flow_action>
request_flow::Handle(const flow_event& aEvent, time_point aNow)
{
  static_cast<void>(aNow);
  mActions.clear();
  if (mPhase != phase::ended) {
    std::visit([this](const auto& aKind) { On(aKind); }, aEvent);
  } else if (mIntentRequested && std::holds_alternative<flow_intent_granted>(aEvent)) {
    // The request ended before the ledger granted its intent.
    mIntentRequested = false;
    mActions.emplace_back(close_intent{ intent_outcome::not_run });
  }
  return std::move(mActions);
}

void
request_flow::On(const flow_started&)
{
  if (mPhase != phase::created) {
    return;
  }
  mPhase = phase::admitting;
  mActions.emplace_back(set_timer{ mCall.deadline });
  mActions.emplace_back(request_admission{});
}

void
request_flow::On(const flow_admitted&)
{
  if (mPhase != phase::admitting) {
    return;
  }
  if (mCall.idempotent) {
    ChooseUpstream();
    return;
  }
  mPhase = phase::committing;
  mIntentRequested = true;
  mActions.emplace_back(request_intent{});
}

void
request_flow::On(const flow_not_admitted& aEvent)
{
  if (mPhase == phase::admitting) {
    EndWithoutAnswer(aEvent.why, {}, aEvent.retryAfter);
  }
}

void
request_flow::On(const flow_intent_granted&)
{
  if (mPhase != phase::committing) {
    return;
  }
  mIntentRequested = false;
  mIntentOpen = true;
  mEarlierExecution = execution_status::not_run;
  if (mCallerDisconnected) {
    EndWithoutAnswer(refusal_reason::stream_broken, {}, {});
    return;
  }
  ChooseUpstream();
}

void
request_flow::On(const flow_stored_answer_found&)
{
  if (mPhase == phase::committing) {
    mActions.emplace_back(deliver_stored_answer{});
    End();
  }
}

void
request_flow::On(const flow_intent_denied& aEvent)
{
  if (mPhase == phase::committing) {
    mEarlierExecution = aEvent.ran;
    EndWithoutAnswer(aEvent.why, {}, aEvent.retryAfter);
  }
}

void
request_flow::ChooseUpstream()
{
  mPhase = phase::choosing;
  mActions.emplace_back(request_upstream{});
}

void
request_flow::On(const flow_upstream_chosen& aEvent)
{
  if (mPhase != phase::choosing) {
    return;
  }
  if (mStreamOpen && aEvent.expected.version != mStreamVersion) {
    EndWithoutAnswer(refusal_reason::stream_broken, "no upstream with the same version", {});
    return;
  }
  mExpected = aEvent.expected;
  mPhase = phase::waiting;
  ++mAttempts;
  mActions.emplace_back(dispatch_attempt{ mAttempts, mTokensDelivered });
}

void
request_flow::On(const flow_no_upstream& aEvent)
{
  if (mPhase == phase::choosing) {
    EndWithoutAnswer(aEvent.why, mLastDetail, aEvent.retryAfter);
  }
}

bool
request_flow::InFlight() const
{
  return mPhase == phase::waiting || mPhase == phase::receiving || mPhase == phase::streaming;
}

bool
request_flow::IsCurrent(attempt_number aAttempt) const
{
  return InFlight() && aAttempt == mAttempts;
}

bool
request_flow::MatchesExpected(const flow_response_head& aHead) const
{
  return Matches(mExpected.attempt, aHead.identity.attempt) &&
         Matches(mExpected.service, aHead.identity.service) &&
         Matches(mExpected.version, aHead.identity.version) &&
         Matches(mExpected.generation, aHead.identity.generation);
}

void
request_flow::On(const flow_response_head& aEvent)
{
  if (mPhase != phase::waiting || !IsCurrent(aEvent.attempt)) {
    return;
  }
  // The refusing upstream may be in another generation, so only the attempt id is compared.
  const bool refused = aEvent.provedNotRun && IsRefusalStatus(aEvent.status) &&
                       aEvent.identity.attempt == mExpected.attempt;
  if (refused) {
    CancelAttempt(attempt_outcome::refused);
    AttemptFailed(refusal_reason::upstream_refused, {}, true, aEvent.status != kTooManyRequests);
    return;
  }
  if (!MatchesExpected(aEvent) || (mStreamOpen && aEvent.status != kOk) ||
      (aEvent.status == kOk && aEvent.resumedAfter != mTokensDelivered)) {
    CancelAttempt(attempt_outcome::failed);
    AttemptFailed(refusal_reason::upstream_mismatch, {}, false, false);
    return;
  }
  mStreamedAnswer = mCall.streamed && aEvent.status == kOk;
  if (mStreamOpen) {
    mPhase = phase::streaming;
    mActions.emplace_back(continue_stream{ mAttempts });
    return;
  }
  mPhase = phase::receiving;
}

void
request_flow::On(const flow_first_bytes& aEvent)
{
  if (mPhase != phase::receiving || !IsCurrent(aEvent.attempt) || !mStreamedAnswer) {
    return;
  }
  mPhase = phase::streaming;
  mStreamOpen = true;
  mStreamVersion = mExpected.version;
  mActions.emplace_back(open_stream{ mAttempts });
}

void
request_flow::On(const flow_attempt_ended& aEvent)
{
  if (!IsCurrent(aEvent.attempt)) {
    return;
  }
  mTokensDelivered = aEvent.tokensDelivered;
  if (aEvent.complete && mPhase != phase::waiting && !(mStreamedAnswer && !mStreamOpen)) {
    CompleteAttempt();
    return;
  }
  mActions.emplace_back(report_attempt{ mAttempts, attempt_outcome::failed });
  // A request that was not sent adds no work to the service, as with a draining upstream's refusal.
  AttemptFailed(refusal_reason::upstream_failed, aEvent.detail, aEvent.notSent, aEvent.notSent);
}

void
request_flow::CompleteAttempt()
{
  mActions.emplace_back(report_attempt{ mAttempts, attempt_outcome::completed });
  if (mStreamOpen) {
    mActions.emplace_back(finish_stream{});
  } else {
    mActions.emplace_back(deliver_answer{ mAttempts });
  }
  CloseIntent(intent_outcome::answered);
  End();
}

void
request_flow::On(const flow_answer_too_large& aEvent)
{
  if (IsCurrent(aEvent.attempt)) {
    CancelAttempt(attempt_outcome::cancelled);
    mMayHaveRun = true;
    EndWithoutAnswer(refusal_reason::answer_too_large, {}, {});
  }
}

void
request_flow::On(const flow_upstream_lost& aEvent)
{
  if (IsCurrent(aEvent.attempt)) {
    mTokensDelivered = aEvent.tokensDelivered;
    CancelAttempt(attempt_outcome::failed);
    AttemptFailed(refusal_reason::upstream_failed, "upstream lost a member", false, false);
  }
}

void
request_flow::AttemptFailed(refusal_reason aWhy,
                            std::string aDetail,
                            bool aProvedNotRun,
                            bool aDraining)
{
  mMayHaveRun = mMayHaveRun || !aProvedNotRun;
  mLastFailure = aWhy;
  mLastDetail = std::move(aDetail);
  if (!mCall.idempotent) {
    EndWithoutAnswer(aWhy, mLastDetail, aProvedNotRun ? kDefaultRetryAfter : duration{});
    return;
  }
  mPhase = phase::deciding_retry;
  failed_attempt failed;
  failed.attempts = mAttempts;
  failed.provedNotRun = aProvedNotRun;
  failed.draining = aDraining;
  failed.idempotent = mCall.idempotent;
  failed.bytesDelivered = mStreamOpen ? 1 : 0;
  failed.resumable = mCall.resumable;
  failed.deadline = mCall.deadline;
  mActions.emplace_back(request_retry{ failed });
}

void
request_flow::On(const flow_retry_decided& aEvent)
{
  if (mPhase != phase::deciding_retry) {
    return;
  }
  const bool continues =
    mStreamOpen ? aEvent.verdict == retry_verdict::resume : aEvent.verdict == retry_verdict::repeat;
  if (continues) {
    ChooseUpstream();
    return;
  }
  EndWithoutAnswer(RefusalReasonFor(aEvent.verdict, mLastFailure), mLastDetail, kDefaultRetryAfter);
}

void
request_flow::On(const flow_caller_disconnected&)
{
  mCallerDisconnected = true;
  const bool keepsRunning = !mCall.idempotent && (InFlight() || mPhase == phase::committing);
  if (keepsRunning) {
    return;
  }
  CancelAttempt(attempt_outcome::cancelled);
  CloseIntent(intent_outcome::not_run);
  End();
}

void
request_flow::On(const flow_deadline_passed&)
{
  mMayHaveRun = mMayHaveRun || InFlight();
  CancelAttempt(attempt_outcome::cancelled);
  EndWithoutAnswer(refusal_reason::deadline_exceeded, {}, {});
}

void
request_flow::On(const flow_stop&)
{
  mMayHaveRun = mMayHaveRun || InFlight();
  CancelAttempt(attempt_outcome::cancelled);
  EndWithoutAnswer(refusal_reason::stopping, {}, kDefaultRetryAfter);
}

void
request_flow::CancelAttempt(attempt_outcome aOutcome)
{
  if (InFlight()) {
    mActions.emplace_back(cancel_attempt{ mAttempts });
    mActions.emplace_back(report_attempt{ mAttempts, aOutcome });
  }
}

execution_status
request_flow::AttemptExecution() const
{
  return mMayHaveRun ? execution_status::unknown : execution_status::not_run;
}

void
request_flow::EndWithoutAnswer(refusal_reason aWhy, std::string aDetail, duration aRetryAfter)
{
  refusal why;
  why.reason = aWhy;
  why.detail = std::move(aDetail);
  why.attemptRan = AttemptExecution();
  why.ran = mMayHaveRun ? execution_status::unknown : mEarlierExecution;
  why.retryAfter = aRetryAfter;
  CloseIntent(mMayHaveRun ? intent_outcome::unknown : intent_outcome::not_run);
  if (mStreamOpen) {
    mActions.emplace_back(break_stream{ std::move(why) });
  } else {
    mActions.emplace_back(send_refusal{ std::move(why) });
  }
  End();
}

void
request_flow::CloseIntent(intent_outcome aOutcome)
{
  if (mIntentOpen) {
    mIntentOpen = false;
    mActions.emplace_back(close_intent{ aOutcome });
  }
}

void
request_flow::End()
{
  mPhase = phase::ended;
  mActions.emplace_back(end_request{});
}

} // namespace persimmon::routing
