#pragma once

#include "dispatch/callfacts.h"
#include "dispatch/planstep.h"
#include "dispatch/repeatbudget.h"
#include "dispatch/upstreamboard.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// Decides about one call from its arrival to its last answer: where it is sent, whether it is
/// sent again, when it is refused. Pure; told of each event with the time.
class call_plan
{
public:
  call_plan(call_facts aFacts,
            const upstream_board& aBoard,
            repeat_budget& aBudget,
            std::uint64_t aSeed);

  [[nodiscard]] const call_facts& Facts() const { return mFacts; }

  /// The call has arrived.
  plan_step Begin(time_point aNow);
  /// The time of a wait_step is over, or the upstreams have changed.
  plan_step Retry(time_point aNow);
  /// An upstream could not be reached: nothing was sent.
  plan_step NotSent(const instance_id& aUpstream, time_point aNow);
  /// An upstream proved that it has not run the call and never will.
  plan_step NotRun(const instance_id& aUpstream, time_point aNow);
  /// An upstream may have run the call, and no whole answer will come from it.
  plan_step Lost(const instance_id& aUpstream, time_point aNow);
  /// The deadline has come.
  [[nodiscard]] plan_step TimeUp() const;
  /// Asks for a second upstream beside one that is silent; nothing when that is not allowed.
  std::optional<send_step> Second(time_point aNow);

  /// The head of an answer went to the caller.
  void AnswerBegan() { mAnswerBegan = true; }
  /// An event went to the caller.
  void EventPassed(std::uint64_t aId) { mLastEvent = aId; }
  [[nodiscard]] std::optional<std::uint64_t> LastEvent() const { return mLastEvent; }
  /// Upstreams that the call was sent to and that may have run it.
  [[nodiscard]] std::uint32_t Sent() const { return mSent; }

private:
  plan_step Choose(time_point aNow);
  /// How long the call may wait here: for a place when all upstreams are full, or for one to come.
  [[nodiscard]] duration Patience(bool aFull) const;
  [[nodiscard]] plan_step GiveUp(plan_cause aCause) const;
  [[nodiscard]] choice_request Choice();
  [[nodiscard]] plan_step SendOrGiveUp(const instance_id& aUpstream, time_point aNow);
  [[nodiscard]] send_step SendTo(const instance_id& aUpstream) const;
  void Exclude(const instance_id& aUpstream);
  /// An upstream no longer holds the call.
  void TakeBack();

  call_facts mFacts;
  const upstream_board& mBoard;
  repeat_budget& mBudget;
  std::uint64_t mDraw;
  std::vector<instance_id> mExcluded;
  /// Times that the call was handed to an upstream.
  std::uint32_t mSent = 0;
  /// Upstreams that could not be reached.
  std::uint32_t mUnreachable = 0;
  /// Upstreams that hold the call at present.
  std::uint32_t mOutstanding = 0;
  /// Some upstream that was lost may have run it.
  bool mMayHaveRun = false;
  bool mRefusedAsFull = false;
  bool mAnswerBegan = false;
  /// No upstream had a place in time; the answer will be late.
  bool mLate = false;
  std::optional<std::uint64_t> mLastEvent;
};

} // namespace persimmon::dispatch
