#include "dispatch/callplan.h"

#include "base/random.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Longest time that a call waits here for an upstream before it is refused.
constexpr duration kLongestWait = 800_ms;
/// Part of the caller's time that it may wait here.
constexpr std::int64_t kWaitDivisor = 4;
/// Part of the latency target that a call may wait for a place, here or at its upstream; the rest
/// is for its prompt to be read. A call that finds none in that time is late.
constexpr std::int64_t kTargetPartForWaiting = 2;
/// Part of the time left that a late call may wait at its upstream; beyond it, it is refused.
constexpr std::int64_t kDeadlinePartForWaiting = 3;
/// How often a waiting call looks for an upstream, beside changes of the upstreams.
constexpr duration kWaitStep = 50_ms;
/// Time in which a lost group is usually replaced.
constexpr duration kReturnWithoutUpstream = 1_s;
/// Time in which a full upstream usually has a place again.
constexpr duration kReturnWhenFull = 1_s;
/// Time until a stopping process is out of the balancer's choice.
constexpr duration kReturnWhenStopping = 100_ms;
/// Upstreams that are tried in vain before a call is refused.
constexpr std::uint32_t kMostUnreachable = 3;

duration
ReturnAfter(plan_cause aCause)
{
  switch (aCause) {
    case plan_cause::upstream_full:
      return kReturnWhenFull;
    case plan_cause::stopping:
      return kReturnWhenStopping;
    case plan_cause::no_upstream:
    case plan_cause::upstream_lost:
    case plan_cause::time_up:
      return kReturnWithoutUpstream;
  }
  return kReturnWithoutUpstream;
}

} // namespace

const char*
PlanCauseName(plan_cause aCause)
{
  switch (aCause) {
    case plan_cause::no_upstream:
      return "no_upstream";
    case plan_cause::upstream_full:
      return "upstream_full";
    case plan_cause::upstream_lost:
      return "upstream_lost";
    case plan_cause::time_up:
      return "time_up";
    case plan_cause::stopping:
      return "stopping";
  }
  return "unknown";
}

const char*
UrgencyName(urgency aUrgency)
{
  switch (aUrgency) {
    case urgency::resumed:
      return "resumed";
    case urgency::normal:
      return "normal";
    case urgency::late:
      return "late";
  }
  return "unknown";
}

call_plan::call_plan(call_facts aFacts,
                     const upstream_board& aBoard,
                     repeat_budget& aBudget,
                     std::uint64_t aSeed)
  : mFacts(std::move(aFacts))
  , mBoard(aBoard)
  , mBudget(aBudget)
  , mDraw(aSeed)
{
  mLastEvent = mFacts.resumeAfter;
}

choice_request
call_plan::Choice()
{
  random_source draws(mDraw);
  mDraw = draws.Next();
  choice_request request;
  request.service = mFacts.service;
  request.model = mFacts.model;
  request.promptTokens = mFacts.promptTokens;
  request.excluded = mExcluded;
  request.draw = mDraw;
  if (!mAnswerBegan && mFacts.latencyTarget.ms > 0) {
    request.longestWait = mFacts.latencyTarget / kTargetPartForWaiting;
  }
  return request;
}

send_step
call_plan::SendTo(const instance_id& aUpstream) const
{
  urgency rank = mLate ? urgency::late : urgency::normal;
  rank = mAnswerBegan ? urgency::resumed : rank;
  return { aUpstream, mFacts.deadline, mLastEvent, mSent > 1, rank };
}

void
call_plan::Exclude(const instance_id& aUpstream)
{
  if (std::find(mExcluded.begin(), mExcluded.end(), aUpstream) == mExcluded.end()) {
    mExcluded.push_back(aUpstream);
  }
}

void
call_plan::TakeBack()
{
  mOutstanding -= std::min<std::uint32_t>(mOutstanding, 1);
}

plan_step
call_plan::GiveUp(plan_cause aCause) const
{
  if (mAnswerBegan) {
    return cut_step{ aCause };
  }
  if (mMayHaveRun || mOutstanding > 0) {
    return fail_step{ aCause };
  }
  return refuse_step{ aCause, ReturnAfter(aCause) };
}

duration
call_plan::Patience(bool aFull) const
{
  const duration longest =
    std::min(kLongestWait, (mFacts.deadline - mFacts.arrived) / kWaitDivisor);
  const bool targeted = aFull && mFacts.latencyTarget.ms > 0;
  return targeted ? std::min(longest, mFacts.latencyTarget / kTargetPartForWaiting) : longest;
}

plan_step
call_plan::Choose(time_point aNow)
{
  if (const auto chosen = mBoard.Choose(Choice(), aNow)) {
    return SendOrGiveUp(*chosen, aNow);
  }
  const bool full = mBoard.Serves(mFacts.service, mFacts.model, aNow);
  const time_point until = mFacts.arrived + Patience(full);
  // A stream that has begun waits for its next upstream as long as its caller does.
  if (aNow < until || mAnswerBegan) {
    return wait_step{ std::min(aNow + kWaitStep, mFacts.deadline) };
  }
  choice_request anyPlace = Choice();
  anyPlace.longestWait = (mFacts.deadline - aNow) / kDeadlinePartForWaiting;
  if (const auto chosen = mBoard.Choose(anyPlace, aNow)) {
    mLate = true;
    return SendOrGiveUp(*chosen, aNow);
  }
  const bool isFull = full || mRefusedAsFull;
  return GiveUp(isFull ? plan_cause::upstream_full : plan_cause::no_upstream);
}

plan_step
call_plan::SendOrGiveUp(const instance_id& aUpstream, time_point aNow)
{
  if (mSent > 0 && (mSent >= mFacts.maxAttempts || !mBudget.TryTake(aNow))) {
    return GiveUp(mRefusedAsFull ? plan_cause::upstream_full : plan_cause::upstream_lost);
  }
  ++mSent;
  ++mOutstanding;
  return SendTo(aUpstream);
}

plan_step
call_plan::Begin(time_point aNow)
{
  mBudget.OnCall(aNow);
  return Choose(aNow);
}

plan_step
call_plan::Retry(time_point aNow)
{
  if (aNow >= mFacts.deadline) {
    return TimeUp();
  }
  return Choose(aNow);
}

plan_step
call_plan::NotSent(const instance_id& aUpstream, time_point aNow)
{
  Exclude(aUpstream);
  mSent -= std::min<std::uint32_t>(mSent, 1);
  TakeBack();
  if (++mUnreachable >= kMostUnreachable) {
    return GiveUp(plan_cause::no_upstream);
  }
  return Choose(aNow);
}

plan_step
call_plan::NotRun(const instance_id& aUpstream, time_point aNow)
{
  Exclude(aUpstream);
  TakeBack();
  mRefusedAsFull = true;
  if (mSent >= mFacts.maxAttempts) {
    return GiveUp(plan_cause::upstream_full);
  }
  return Choose(aNow);
}

plan_step
call_plan::Lost(const instance_id& aUpstream, time_point aNow)
{
  Exclude(aUpstream);
  TakeBack();
  mMayHaveRun = true;
  const bool mayGoOn = mAnswerBegan ? mFacts.resumable : mFacts.mayRepeat;
  if (!mayGoOn || mSent >= mFacts.maxAttempts) {
    return GiveUp(plan_cause::upstream_lost);
  }
  return Choose(aNow);
}

plan_step
call_plan::TimeUp() const
{
  return GiveUp(plan_cause::time_up);
}

std::optional<send_step>
call_plan::Second(time_point aNow)
{
  const bool allowed = mFacts.kind == routes::call_kind::idempotent && !mAnswerBegan;
  if (!allowed || mSent == 0 || mSent >= mFacts.maxAttempts) {
    return std::nullopt;
  }
  const auto chosen = mBoard.Choose(Choice(), aNow);
  if (!chosen || !mBudget.TryTake(aNow)) {
    return std::nullopt;
  }
  ++mSent;
  ++mOutstanding;
  return SendTo(*chosen);
}

} // namespace persimmon::dispatch
