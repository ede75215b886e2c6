#include "dispatch/callstatemachine.h"

#include "admission/retryschedule.h"
#include "base/random.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Longest time that a call waits in this process for an upstream before it is refused.
constexpr duration kMaxWait = 800_ms;
/// The same for a call that has failed to connect: by then an upstream that was silent for about a
/// second accepts connections again.
constexpr duration kMaxWaitAfterNotSent = 1600_ms;
/// A call waits in this process for at most its time from arrival to deadline, divided by this.
constexpr std::int64_t kCallTimeDivisor = 4;
/// A call waits for a free slot, in this process or at its upstream, for at most its latency target
/// divided by this; the rest of the target is for processing its prompt. A call without a slot by
/// then is late.
constexpr std::int64_t kLatencyTargetDivisor = 2;
/// A call waits in this process for a slot that it may use for at most its latency target divided
/// by this: the rest of the target is for the response to a call that finds one.
constexpr std::int64_t kSlotWaitDivisor = 4;
/// A late call may wait at its upstream for at most the time to its deadline divided by this; it is
/// refused when every upstream would take longer.
constexpr std::int64_t kRemainingTimeDivisor = 3;
/// Interval at which a waiting call selects again, in addition to every change of the upstreams.
constexpr duration kRecheckInterval = 50_ms;
/// Retry-After without an available upstream: the time in which a lost group is usually replaced.
constexpr duration kRetryAfterNoUpstream = 1_s;
/// Retry-After with full upstreams: the time in which a slot usually becomes free.
constexpr duration kRetryAfterFull = 1_s;
/// Retry-After with limited upstreams, when this process has no share in their limits: other
/// processes, which the caller's next attempt may reach, have one.
constexpr duration kRetryAfterLimited = 1_s;
/// Bounds of the Retry-After until the next permit, the lower one also until the end of a pause:
/// not before another process can be reached, and not so late that the end of a limit is missed.
constexpr duration kMinRetryAfter = 100_ms;
constexpr duration kMaxRetryAfterLimited = 2_s;
/// Retry-After of a stopping process: the time until load balancers stop selecting it.
constexpr duration kRetryAfterStopping = 100_ms;
/// Attempts that may fail to connect before a call is refused.
constexpr std::uint32_t kMaxUnreachable = 3;

duration
RetryAfter(failure_cause aCause)
{
  switch (aCause) {
    case failure_cause::overloaded:
    case failure_cause::upstream_full:
      return kRetryAfterFull;
    case failure_cause::upstream_limited:
      return kRetryAfterLimited;
    case failure_cause::stopping:
      return kRetryAfterStopping;
    case failure_cause::quarantined:
    case failure_cause::no_upstream:
    case failure_cause::zone_emptied:
    case failure_cause::upstream_paused:
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
    case failure_cause::upstream_limited:
      return "upstream_limited";
    case failure_cause::upstream_paused:
      return "upstream_paused";
    case failure_cause::overloaded:
      return "overloaded";
    case failure_cause::zone_emptied:
      return "zone_emptied";
    case failure_cause::upstream_lost:
      return "upstream_lost";
    case failure_cause::time_up:
      return "time_up";
    case failure_cause::stopping:
      return "stopping";
    case failure_cause::quarantined:
      return "quarantined";
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
  , mUpstreams(mAttributes.maxAttempts)
{
  mLastEventId = mAttributes.resumeAfter;
  mSlotDraw = random_source(mRandom).NextDouble();
}

bool
call_state_machine::MayRunAgain() const
{
  return mResponseStarted ? mAttributes.resumable : mAttributes.retryable;
}

selection_request
call_state_machine::MakeSelectionRequest(time_point aNow)
{
  random_source generator(mRandom);
  mRandom = generator.Next();
  selection_request request;
  request.service = mAttributes.service;
  request.model = mAttributes.model;
  request.promptTokens = mAttributes.promptTokens;
  mUpstreams.Restrict(request, aNow);
  request.random = mRandom;
  if (!mResponseStarted && mAttributes.latencyTarget.ms > 0) {
    request.maxQueueWait = mAttributes.isReturning
                             ? (mAttributes.deadline - aNow) / kRemainingTimeDivisor
                             : mAttributes.latencyTarget / kLatencyTargetDivisor;
  }
  if (NeedsSlot()) {
    request.claim =
      slot_claim{ mAttributes.rank, mSlotDraw, mAttributes.isReturning, mAttributes.isReturning };
  }
  return request;
}

send_action
call_state_machine::MakeSendAction(const instance_id& aUpstream) const
{
  queue_priority priority = mIsLate ? queue_priority::late : queue_priority::normal;
  priority = mResponseStarted ? queue_priority::resumed : priority;
  return { aUpstream, mAttributes.deadline, mLastEventId, SendCount() > 1, priority };
}

void
call_state_machine::UndoSend(const instance_id& aUpstream)
{
  if (const auto permitAt = mUpstreams.UndoSend(aUpstream)) {
    mRetryBudget.Return(*permitAt);
  }
}

call_action
call_state_machine::AwaitOrSelect(time_point aNow)
{
  if (mUpstreams.InFlightCount() > 0) {
    return await_action{};
  }
  return SelectOrWait(aNow);
}

call_action
call_state_machine::GiveUp(failure_cause aCause) const
{
  return GiveUp(aCause, RetryAfter(aCause));
}

call_action
call_state_machine::GiveUp(failure_cause aCause, duration aRetryAfter) const
{
  if (mResponseStarted) {
    return abort_action{ aCause };
  }
  if (mMayHaveRun || mUpstreams.InFlightCount() > 0) {
    return fail_action{ aCause };
  }
  return refuse_action{ aCause, aRetryAfter };
}

duration
call_state_machine::MaxWait(upstream_shortage aShortage) const
{
  const duration most = mUnreachableCount > 0 ? kMaxWaitAfterNotSent : kMaxWait;
  const duration longest =
    std::min(most, (mAttributes.deadline - mAttributes.arrivedAt) / kCallTimeDivisor);
  const bool hasTarget =
    aShortage != upstream_shortage::none_available && mAttributes.latencyTarget.ms > 0;
  if (hasTarget && aShortage == upstream_shortage::overloaded && !mAttributes.isReturning) {
    return std::min(longest, mAttributes.latencyTarget / kSlotWaitDivisor);
  }
  return hasTarget && !mAttributes.isReturning
           ? std::min(longest, mAttributes.latencyTarget / kLatencyTargetDivisor)
           : longest;
}

bool
call_state_machine::IsWaitUseful(upstream_shortage aShortage,
                                 time_point aUntil,
                                 time_point aNow) const
{
  // A started stream waits for its next upstream until its deadline.
  if (mResponseStarted) {
    return true;
  }
  if (aNow >= aUntil || aShortage == upstream_shortage::all_emptied) {
    return false;
  }
  if (aShortage != upstream_shortage::all_limited && aShortage != upstream_shortage::all_paused) {
    return true;
  }
  const auto acceptsIn = TimeToAcceptance(aShortage, aNow);
  return acceptsIn && aNow + *acceptsIn <= aUntil;
}

std::optional<duration>
call_state_machine::TimeToAcceptance(upstream_shortage aShortage, time_point aNow) const
{
  return aShortage == upstream_shortage::all_paused
           ? mSelector.TimeToPauseEnd(mAttributes.service, mAttributes.model, aNow)
           : mSelector.TimeToNextPermit(mAttributes.service, mAttributes.model, aNow);
}

failure_cause
call_state_machine::CauseOf(upstream_shortage aShortage) const
{
  if (aShortage == upstream_shortage::all_limited) {
    return failure_cause::upstream_limited;
  }
  if (aShortage == upstream_shortage::all_paused) {
    return failure_cause::upstream_paused;
  }
  if (aShortage == upstream_shortage::all_emptied) {
    return failure_cause::zone_emptied;
  }
  if (aShortage == upstream_shortage::overloaded) {
    return failure_cause::overloaded;
  }
  const bool isFull = aShortage == upstream_shortage::all_full || mRefusedAsFull;
  return isFull ? failure_cause::upstream_full : failure_cause::no_upstream;
}

duration
call_state_machine::RetryAfterShortage(upstream_shortage aShortage, time_point aNow) const
{
  const auto acceptsIn = TimeToAcceptance(aShortage, aNow);
  if (aShortage == upstream_shortage::all_paused) {
    return std::max(acceptsIn.value_or(kRetryAfterNoUpstream), kMinRetryAfter);
  }
  return std::clamp(acceptsIn.value_or(kRetryAfterLimited), kMinRetryAfter, kMaxRetryAfterLimited);
}

call_action
call_state_machine::GiveUp(upstream_shortage aShortage, time_point aNow) const
{
  const failure_cause cause = CauseOf(aShortage);
  if (cause == failure_cause::overloaded) {
    return GiveUp(cause, admission::RetryAfterOverload(mAttributes.deadline - aNow, mRandom));
  }
  const bool isKnown =
    cause == failure_cause::upstream_limited || cause == failure_cause::upstream_paused;
  return GiveUp(cause, isKnown ? RetryAfterShortage(aShortage, aNow) : RetryAfter(cause));
}

bool
call_state_machine::NeedsSlot() const
{
  return mAttributes.needsSlot && !mAttributes.model.Empty() && mAttributes.latencyTarget.ms > 0 &&
         !mResponseStarted && SendCount() == 0;
}

call_action
call_state_machine::SelectOrWait(time_point aNow)
{
  if (const auto selected = mSelector.Select(MakeSelectionRequest(aNow), aNow)) {
    mIsLate = mIsLate || mAttributes.isReturning;
    return SendOrGiveUp(*selected, aNow);
  }
  upstream_shortage shortage = mSelector.FindShortage(mAttributes.service, mAttributes.model, aNow);
  if (shortage == upstream_shortage::all_full && NeedsSlot()) {
    shortage = upstream_shortage::overloaded;
  }
  const time_point until = mAttributes.arrivedAt + MaxWait(shortage);
  if (IsWaitUseful(shortage, until, aNow)) {
    return wait_action{ std::min({ aNow + kRecheckInterval, until, mAttributes.deadline }) };
  }
  return SelectLate(shortage, aNow);
}

call_action
call_state_machine::SelectLate(upstream_shortage aShortage, time_point aNow)
{
  selection_request request = MakeSelectionRequest(aNow);
  request.maxQueueWait = (mAttributes.deadline - aNow) / kRemainingTimeDivisor;
  if (request.claim) {
    request.claim->isLate = true;
  }
  if (const auto selected = mSelector.Select(request, aNow)) {
    mIsLate = true;
    return SendOrGiveUp(*selected, aNow);
  }
  return GiveUp(aShortage, aNow);
}

call_action
call_state_machine::SendOrGiveUp(const instance_id& aUpstream, time_point aNow)
{
  const bool isRetry = SendCount() > 0;
  if (isRetry && !mRetryBudget.TryAcquire(aNow)) {
    return GiveUp(mRefusedAsFull ? failure_cause::upstream_full : failure_cause::upstream_lost);
  }
  mUpstreams.RecordSend(aUpstream, isRetry ? std::optional(aNow) : std::nullopt);
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
  UndoSend(aUpstream);
  mUpstreams.Avoid(aUpstream, aNow);
  const bool isHopeless = ++mUnreachableCount >= kMaxUnreachable;
  if (isHopeless && mUpstreams.InFlightCount() == 0 && !mResponseStarted) {
    return GiveUp(failure_cause::no_upstream);
  }
  return AwaitOrSelect(aNow);
}

call_action
call_state_machine::OnNotExecuted(const instance_id& aUpstream, time_point aNow)
{
  mUpstreams.Release(aUpstream);
  mUpstreams.Avoid(aUpstream, aNow);
  mRefusedAsFull = true;
  if (mUpstreams.MayAskNoOther() && mUpstreams.InFlightCount() == 0 && !mResponseStarted) {
    const upstream_shortage shortage =
      mSelector.FindShortage(mAttributes.service, mAttributes.model, aNow);
    return shortage == upstream_shortage::all_paused ? GiveUp(shortage, aNow)
                                                     : GiveUp(failure_cause::upstream_full);
  }
  return AwaitOrSelect(aNow);
}

call_action
call_state_machine::OnUpstreamLost(const instance_id& aUpstream, time_point aNow)
{
  mUpstreams.Release(aUpstream);
  mUpstreams.Exclude(aUpstream);
  mMayHaveRun = true;
  const bool isLast = !MayRunAgain() || mUpstreams.IsExhausted();
  if (isLast && mUpstreams.InFlightCount() == 0) {
    return GiveUp(failure_cause::upstream_lost);
  }
  return AwaitOrSelect(aNow);
}

call_action
call_state_machine::OnQuarantined(duration aRemaining) const
{
  return GiveUp(failure_cause::quarantined, aRemaining);
}

call_action
call_state_machine::OnSendWithheld(failure_cause aCause, duration aRetryAfter)
{
  if (mUpstreams.InFlightCount() > 0) {
    UndoSend(mUpstreams.LatestInFlight());
  }
  if (mUpstreams.InFlightCount() > 0) {
    return await_action{};
  }
  return GiveUp(aCause, aRetryAfter);
}

call_action
call_state_machine::OnDeadline() const
{
  return GiveUp(failure_cause::time_up);
}

std::optional<send_action>
call_state_machine::TryConcurrentAttempt(time_point aNow)
{
  // Without a loss, a call is not sent more often than it may be sent to upstreams.
  if (!MayRunAgain() || mUpstreams.InFlightCount() != 1 || SendCount() >= mAttributes.maxAttempts) {
    return std::nullopt;
  }
  selection_request request = MakeSelectionRequest(aNow);
  const bool isLate = mAttributes.kind == routes::call_kind::streaming && !mResponseStarted &&
                      aNow > mAttributes.arrivedAt + mAttributes.latencyTarget;
  if (isLate) {
    request.maxQueueWait = (mAttributes.deadline - aNow) / kRemainingTimeDivisor;
  }
  const auto selected = mSelector.Select(request, aNow);
  if (!selected || !mRetryBudget.TryAcquire(aNow)) {
    return std::nullopt;
  }
  mIsLate = mIsLate || isLate;
  mUpstreams.RecordSend(*selected, aNow);
  return MakeSendAction(*selected);
}

} // namespace persimmon::dispatch
