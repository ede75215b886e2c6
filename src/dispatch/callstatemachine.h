#pragma once

#include "dispatch/callaction.h"
#include "dispatch/callattributes.h"
#include "dispatch/callupstreams.h"
#include "dispatch/retrybudget.h"
#include "dispatch/upstreamselector.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmon::dispatch {

/// State machine of one call from its arrival to the end of its response. Each event yields the
/// next action: where to send the call, whether to retry it, when to refuse it. Does no I/O and
/// reads no clock; every event carries its time.
class call_state_machine
{
public:
  call_state_machine(call_attributes aAttributes,
                     const upstream_selector& aSelector,
                     retry_budget& aRetryBudget,
                     std::uint64_t aSeed);

  [[nodiscard]] const call_attributes& Attributes() const { return mAttributes; }

  /// Handles the arrival of the call.
  call_action OnArrival(time_point aNow);
  /// Selects again after the time of a wait_action or a change of the upstreams.
  call_action OnWaitOver(time_point aNow);
  /// Handles an upstream that could not be reached. Nothing was sent, so no attempt is counted.
  call_action OnNotSent(const instance_id& aUpstream, time_point aNow);
  /// Handles a response which proves that the upstream has not run the call and never will.
  call_action OnNotExecuted(const instance_id& aUpstream, time_point aNow);
  /// Handles the loss of an upstream that may have run the call and will not complete its response.
  call_action OnUpstreamLost(const instance_id& aUpstream, time_point aNow);
  /// Ends a call whose request is quarantined for aRemaining.
  [[nodiscard]] call_action OnQuarantined(duration aRemaining) const;
  /// Takes a send_action back that was not carried out, or of which nothing was sent: the call ends
  /// for a reason of its own, and the upstream has no part in it.
  void OnSendWithdrawn(const instance_id& aUpstream) { UndoSend(aUpstream); }
  /// Ends a call whose send_action was not carried out for aCause, unless another attempt goes on.
  call_action OnSendWithheld(failure_cause aCause, duration aRetryAfter);
  /// Handles the deadline of the call.
  [[nodiscard]] call_action OnDeadline() const;
  /// Returns a second, concurrent attempt for a call whose only upstream is slow or silent; empty
  /// unless the call may run again, or its stream may be resumed, and an attempt, an upstream and
  /// the retry budget are left.
  std::optional<send_action> TryConcurrentAttempt(time_point aNow);
  /// Records that an attempt was cancelled because another one is answered.
  void OnSuperseded(const instance_id& aUpstream) { mUpstreams.Release(aUpstream); }

  /// Records that the response head was forwarded to the caller.
  void OnResponseStarted() { mResponseStarted = true; }
  /// Records the id of an event that was forwarded to the caller.
  void OnEventForwarded(std::uint64_t aId) { mLastEventId = aId; }
  /// Returns the id of the last event that the caller has; empty when it has none.
  [[nodiscard]] std::optional<std::uint64_t> LastEventId() const { return mLastEventId; }
  /// Returns how often the call was sent to an upstream, without the attempts that failed to
  /// connect.
  [[nodiscard]] std::uint32_t SendCount() const { return mUpstreams.SendCount(); }

private:
  /// Sends the call to an available upstream, waits for one, or gives up.
  call_action SelectOrWait(time_point aNow);
  /// Sends the call to an upstream that answers it late, or gives up.
  call_action SelectLate(upstream_shortage aShortage, time_point aNow);
  /// Returns whether the call goes only where it finds a slot. What has been begun goes on.
  [[nodiscard]] bool NeedsSlot() const;
  /// Returns how long the call may wait in this process: for a free slot or a permit when the
  /// upstreams are full or limited, otherwise for an upstream to become available.
  [[nodiscard]] duration MaxWait(upstream_shortage aShortage) const;
  /// Returns whether a call that may wait until aUntil should do so.
  [[nodiscard]] bool IsWaitUseful(upstream_shortage aShortage,
                                  time_point aUntil,
                                  time_point aNow) const;
  [[nodiscard]] failure_cause CauseOf(upstream_shortage aShortage) const;
  /// Returns the time until an upstream accepts a call again, for upstreams that are paused or
  /// limited; empty when that is not known.
  [[nodiscard]] std::optional<duration> TimeToAcceptance(upstream_shortage aShortage,
                                                         time_point aNow) const;
  /// Returns the time after which a call that was refused for pauses or limits is likely to
  /// succeed.
  [[nodiscard]] duration RetryAfterShortage(upstream_shortage aShortage, time_point aNow) const;
  /// Ends the call: aborts a started response, fails a call that may have run, refuses any other.
  [[nodiscard]] call_action GiveUp(failure_cause aCause) const;
  [[nodiscard]] call_action GiveUp(failure_cause aCause, duration aRetryAfter) const;
  /// Ends a call for which there is no upstream.
  [[nodiscard]] call_action GiveUp(upstream_shortage aShortage, time_point aNow) const;
  /// Returns whether the call may run again, or its stream go on, at another upstream.
  [[nodiscard]] bool MayRunAgain() const;
  [[nodiscard]] selection_request MakeSelectionRequest(time_point aNow);
  [[nodiscard]] call_action SendOrGiveUp(const instance_id& aUpstream, time_point aNow);
  [[nodiscard]] send_action MakeSendAction(const instance_id& aUpstream) const;
  /// Undoes a send that was not carried out, and gives back its permit of the retry budget.
  void UndoSend(const instance_id& aUpstream);
  /// Does the same as SelectOrWait(), but awaits an attempt that is still in flight.
  call_action AwaitOrSelect(time_point aNow);

  call_attributes mAttributes;
  const upstream_selector& mSelector;
  retry_budget& mRetryBudget;
  std::uint64_t mRandom;
  /// Number from 0 to 1 for the claim of a slot.
  double mSlotDraw = 0;
  call_upstreams mUpstreams;
  /// Number of attempts that could not reach their upstreams.
  std::uint32_t mUnreachableCount = 0;
  /// An upstream that was lost may have run the call.
  bool mMayHaveRun = false;
  bool mRefusedAsFull = false;
  bool mResponseStarted = false;
  /// No upstream had a free slot within the latency target; the response will miss it.
  bool mIsLate = false;
  std::optional<std::uint64_t> mLastEventId;
};

} // namespace persimmon::dispatch
