#include "dispatch/callplan.h"

#include "base/random.h"

#include <algorithm>

namespace persimmon::dispatch {
namespace {

/// Longest time that a call waits here for an upstream before it is refused.
constexpr duration kLongestWait = 800_ms;
/// Part of the caller's time that it may wait here.
constexpr std::int64_t kWaitDivisor = 4;
/// How often a waiting call looks for an upstream, beside changes of the upstreams.
constexpr duration kWaitStep = 50_ms;
/// Time in which a lost group is usually replaced.
constexpr duration kReturnWithoutUpstream = 1_s;
/// Time in which a full upstream usually has a place again.
constexpr duration kReturnWhenFull = 400_ms;
/// Time until a stopping process is out of the balancer's choice.
constexpr duration kReturnWhenStopping = 100_ms;
constexpr duration kQuarantineReturn = 2_s;
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
    case plan_cause::quarantined:
      return kQuarantineReturn;
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
    case plan_cause::quarantined:
      return "quarantined";
    case plan_cause::stopping:
      return "stopping";
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
  return request;
}

send_step
call_plan::SendTo(const instance_id& aUpstream) const
{
  return { aUpstream, mFacts.deadline, mLastEvent, mSent > 1 };
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

plan_step
call_plan::Choose(time_point aNow)
{
  const auto chosen = mBoard.Choose(Choice(), aNow);
  if (!chosen) {
    const duration patience =
      std::min(kLongestWait, (mFacts.deadline - mFacts.arrived) / kWaitDivisor);
    const time_point until = mFacts.arrived + patience;
    // A stream that has begun waits for its next upstream as long as its caller does.
    if (aNow < until || mAnswerBegan) {
      return wait_step{ std::min(aNow + kWaitStep, mFacts.deadline) };
    }
    return GiveUp(mRefusedAsFull ? plan_cause::upstream_full : plan_cause::no_upstream);
  }
  if (mSent > 0) {
    if (mSent >= mFacts.maxAttempts || !mBudget.TryTake(aNow)) {
      return GiveUp(mRefusedAsFull ? plan_cause::upstream_full : plan_cause::upstream_lost);
    }
  }
  ++mSent;
  ++mOutstanding;
  return SendTo(*chosen);
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
