#pragma once

#include "dispatch/callaction.h"
#include "dispatch/callattributes.h"
#include "dispatch/retrybudget.h"
#include "dispatch/upstreamselector.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// Decides about one call from its arrival to its last answer: where it is sent, whether it is
/// sent again, when it is refused. Pure; told of each event with the time.
class call_state_machine
{
public:
  call_state_machine(call_attributes aAttributes,
                     const upstream_selector& aSelector,
                     retry_budget& aRetryBudget,
                     std::uint64_t aSeed);

  [[nodiscard]] const call_attributes& Attributes() const { return mAttributes; }

  /// The call has arrivedAt.
  call_action OnArrival(time_point aNow);
  /// The time of a wait_action is over, or the upstreams have changed.
  call_action OnWaitOver(time_point aNow);
  /// An upstream could not be reached: nothing was sent.
  call_action OnNotSent(const instance_id& aUpstream, time_point aNow);
  /// An upstream proved that it has not run the call and never will.
  call_action OnNotExecuted(const instance_id& aUpstream, time_point aNow);
  /// An upstream may have run the call, and no whole answer will come from it.
  call_action OnUpstreamLost(const instance_id& aUpstream, time_point aNow);
  /// The deadline has come.
  [[nodiscard]] call_action OnDeadline() const;
  /// Asks for a second upstream beside one that is silent; nothing when that is not allowed.
  std::optional<send_action> TryHedge(time_point aNow);

  /// The head of an answer went to the caller.
  void OnResponseStarted() { mResponseStarted = true; }
  /// An event went to the caller.
  void OnEventForwarded(std::uint64_t aId) { mLastEventId = aId; }
  [[nodiscard]] std::optional<std::uint64_t> LastEventId() const { return mLastEventId; }
  /// Upstreams that the call was sent to and that may have run it.
  [[nodiscard]] std::uint32_t SendCount() const { return mSendCount; }

private:
  call_action SelectOrWait(time_point aNow);
  /// How long the call may wait here: for a place when all upstreams are full, or for one to come.
  [[nodiscard]] duration MaxWait(bool aAllFull) const;
  [[nodiscard]] call_action GiveUp(failure_cause aCause) const;
  [[nodiscard]] selection_request MakeSelectionRequest();
  [[nodiscard]] call_action SendOrGiveUp(const instance_id& aUpstream, time_point aNow);
  [[nodiscard]] send_action MakeSendAction(const instance_id& aUpstream) const;
  void Exclude(const instance_id& aUpstream);
  /// An upstream no longer holds the call.
  void ReleaseUpstream();

  call_attributes mAttributes;
  const upstream_selector& mSelector;
  retry_budget& mRetryBudget;
  std::uint64_t mRandom;
  std::vector<instance_id> mExcluded;
  /// Times that the call was handed to an upstream.
  std::uint32_t mSendCount = 0;
  /// Upstreams that could not be reached.
  std::uint32_t mUnreachableCount = 0;
  /// Upstreams that hold the call at present.
  std::uint32_t mInFlight = 0;
  /// Some upstream that was lost may have run it.
  bool mMayHaveRun = false;
  bool mRefusedAsFull = false;
  bool mResponseStarted = false;
  /// No upstream had a place in time; the answer will be late.
  bool mIsLate = false;
  std::optional<std::uint64_t> mLastEventId;
};

} // namespace persimmon::dispatch
