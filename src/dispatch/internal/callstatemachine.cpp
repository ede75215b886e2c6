#include "dispatch/callstatemachine.h"

#include "base/random.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Longest time that a call waits here for an upstream before it is refused.
constexpr duration kMaxWait = 800_ms;
/// Part of the caller's time that it may wait here.
constexpr std::int64_t kCallTimeDivisor = 4;
/// Part of the latency target that a call may wait for a place, here or at its upstream; the rest
/// is for its prompt to be read. A call that finds none in that time is late.
constexpr std::int64_t kLatencyTargetDivisor = 2;
/// Part of the time left that a late call may wait at its upstream; beyond it, it is refused.
constexpr std::int64_t kRemainingTimeDivisor = 3;
/// How often a waiting call looks for an upstream, beside changes of the upstreams.
constexpr duration kRecheckInterval = 50_ms;
/// Time in which a lost group is usually replaced.
constexpr duration kRetryAfterNoUpstream = 1_s;
/// Time in which a full upstream usually has a place again.
constexpr duration kRetryAfterFull = 1_s;
/// Time until a stopping process is out of the balancer's choice.
constexpr duration kRetryAfterStopping = 100_ms;
/// Upstreams that are tried in vain before a call is refused.
constexpr std::uint32_t kMaxUnreachable = 3;

duration
RetryAfter(failure_cause aCause)
{
  switch (aCause) {
    case failure_cause::upstream_full:
      return kRetryAfterFull;
    case failure_cause::stopping:
      return kRetryAfterStopping;
    case failure_cause::no_upstream:
    case failure_cause::upstream_lost:
    case failure_cause::time_up:
      return kRetryAfterNoUpstream;
  }
  return kRetryAfterNoUpstream;
}

} // namespace

const char*
FailureCauseName(failure_cause aCause)
{
  switch (aCause) {
    case failure_cause::no_upstream:
      return "no_upstream";
    case failure_cause::upstream_full:
      return "upstream_full";
    case failure_cause::upstream_lost:
      return "upstream_lost";
    case failure_cause::time_up:
      return "time_up";
    case failure_cause::stopping:
      return "stopping";
  }
  return "unknown";
}

const char*
QueuePriorityName(queue_priority aPriority)
{
  switch (aPriority) {
    case queue_priority::resumed:
      return "resumed";
    case queue_priority::normal:
      return "normal";
    case queue_priority::late:
      return "late";
  }
  return "unknown";
}

call_state_machine::call_state_machine(call_attributes aAttributes,
                                       const upstream_selector& aSelector,
                                       retry_budget& aRetryBudget,
                                       std::uint64_t aSeed)
  : mAttributes(std::move(aAttributes))
  , mSelector(aSelector)
  , mRetryBudget(aRetryBudget)
  , mRandom(aSeed)
{
  mLastEventId = mAttributes.resumeAfter;
}

selection_request
call_state_machine::MakeSelectionRequest()
{
  random_source generator(mRandom);
  mRandom = generator.Next();
  selection_request request;
  request.service = mAttributes.service;
  request.model = mAttributes.model;
  request.promptTokens = mAttributes.promptTokens;
  request.excluded = mExcluded;
  request.random = mRandom;
  if (!mResponseStarted && mAttributes.latencyTarget.ms > 0) {
    request.maxQueueWait = mAttributes.latencyTarget / kLatencyTargetDivisor;
  }
  return request;
}

send_action
call_state_machine::MakeSendAction(const instance_id& aUpstream) const
{
  queue_priority priority = mIsLate ? queue_priority::late : queue_priority::normal;
  priority = mResponseStarted ? queue_priority::resumed : priority;
  return { aUpstream, mAttributes.deadline, mLastEventId, mSendCount > 1, priority };
}

void
call_state_machine::Exclude(const instance_id& aUpstream)
{
  if (std::find(mExcluded.begin(), mExcluded.end(), aUpstream) == mExcluded.end()) {
    mExcluded.push_back(aUpstream);
  }
}

void
call_state_machine::ReleaseUpstream()
{
  mInFlight -= std::min<std::uint32_t>(mInFlight, 1);
}

call_action
call_state_machine::GiveUp(failure_cause aCause) const
{
  if (mResponseStarted) {
    return abort_action{ aCause };
  }
  if (mMayHaveRun || mInFlight > 0) {
    return fail_action{ aCause };
  }
  return refuse_action{ aCause, RetryAfter(aCause) };
}

duration
call_state_machine::MaxWait(bool aAllFull) const
{
  const duration longest =
    std::min(kMaxWait, (mAttributes.deadline - mAttributes.arrivedAt) / kCallTimeDivisor);
  const bool hasTarget = aAllFull && mAttributes.latencyTarget.ms > 0;
  return hasTarget ? std::min(longest, mAttributes.latencyTarget / kLatencyTargetDivisor) : longest;
}

call_action
call_state_machine::SelectOrWait(time_point aNow)
{
  if (const auto chosen = mSelector.Select(MakeSelectionRequest(), aNow)) {
    return SendOrGiveUp(*chosen, aNow);
  }
  const bool allFull = mSelector.CanServe(mAttributes.service, mAttributes.model, aNow);
  const time_point until = mAttributes.arrivedAt + MaxWait(allFull);
  // A stream that has begun waits for its next upstream as long as its caller does.
  if (aNow < until || mResponseStarted) {
    return wait_action{ std::min(aNow + kRecheckInterval, mAttributes.deadline) };
  }
  selection_request lateRequest = MakeSelectionRequest();
  lateRequest.maxQueueWait = (mAttributes.deadline - aNow) / kRemainingTimeDivisor;
  if (const auto chosen = mSelector.Select(lateRequest, aNow)) {
    mIsLate = true;
    return SendOrGiveUp(*chosen, aNow);
  }
  const bool refusedForCapacity = allFull || mRefusedAsFull;
  return GiveUp(refusedForCapacity ? failure_cause::upstream_full : failure_cause::no_upstream);
}

call_action
call_state_machine::SendOrGiveUp(const instance_id& aUpstream, time_point aNow)
{
  if (mSendCount > 0 && (mSendCount >= mAttributes.maxAttempts || !mRetryBudget.TryAcquire(aNow))) {
    return GiveUp(mRefusedAsFull ? failure_cause::upstream_full : failure_cause::upstream_lost);
  }
  ++mSendCount;
  ++mInFlight;
  return MakeSendAction(aUpstream);
}

call_action
call_state_machine::OnArrival(time_point aNow)
{
  mRetryBudget.RecordCall(aNow);
  return SelectOrWait(aNow);
}

call_action
call_state_machine::OnWaitOver(time_point aNow)
{
  if (aNow >= mAttributes.deadline) {
    return OnDeadline();
  }
  return SelectOrWait(aNow);
}

call_action
call_state_machine::OnNotSent(const instance_id& aUpstream, time_point aNow)
{
  Exclude(aUpstream);
  mSendCount -= std::min<std::uint32_t>(mSendCount, 1);
  ReleaseUpstream();
  if (++mUnreachableCount >= kMaxUnreachable) {
    return GiveUp(failure_cause::no_upstream);
  }
  return SelectOrWait(aNow);
}

call_action
call_state_machine::OnNotExecuted(const instance_id& aUpstream, time_point aNow)
{
  Exclude(aUpstream);
  ReleaseUpstream();
  mRefusedAsFull = true;
  if (mSendCount >= mAttributes.maxAttempts) {
    return GiveUp(failure_cause::upstream_full);
  }
  return SelectOrWait(aNow);
}

call_action
call_state_machine::OnUpstreamLost(const instance_id& aUpstream, time_point aNow)
{
  Exclude(aUpstream);
  ReleaseUpstream();
  mMayHaveRun = true;
  const bool mayContinue = mResponseStarted ? mAttributes.resumable : mAttributes.retryable;
  if (!mayContinue || mSendCount >= mAttributes.maxAttempts) {
    return GiveUp(failure_cause::upstream_lost);
  }
  return SelectOrWait(aNow);
}

call_action
call_state_machine::OnDeadline() const
{
  return GiveUp(failure_cause::time_up);
}

std::optional<send_action>
call_state_machine::TryHedge(time_point aNow)
{
  const bool allowed = mAttributes.kind == routes::call_kind::idempotent && !mResponseStarted;
  if (!allowed || mSendCount == 0 || mSendCount >= mAttributes.maxAttempts) {
    return std::nullopt;
  }
  const auto chosen = mSelector.Select(MakeSelectionRequest(), aNow);
  if (!chosen || !mRetryBudget.TryAcquire(aNow)) {
    return std::nullopt;
  }
  ++mSendCount;
  ++mInFlight;
  return MakeSendAction(*chosen);
}

} // namespace persimmon::dispatch
