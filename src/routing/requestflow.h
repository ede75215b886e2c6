#pragma once

#include "base/clock.h"
#include "routing/requestflowactions.h"
#include "routing/requestflowevents.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::routing {

/// What a request's flow depends on.
struct flow_call
{
  /// The call may be repeated; otherwise it runs at most once, under an intent in the ledger.
  bool idempotent = true;
  /// The caller wants the answer as a stream.
  bool streamed = false;
  /// The upstreams resume streams after a number of tokens.
  bool resumable = false;
  time_point deadline{ INT64_MAX };
};

/// Decides over one request from its acceptance to its end: admission, intent, attempts, what goes
/// to the caller, and what a refusal may claim. Pure; events that come late, twice, out of order
/// or for an attempt that is over change nothing.
///
/// The caller gets exactly one of: a whole answer, a finished stream, a refusal, a broken stream.
/// A call that may not be repeated is dispatched at most once, after its intent was granted. When
/// its caller leaves it runs on, so that a repeat finds its outcome in the ledger.
class request_flow
{
public:
  explicit request_flow(const flow_call& aCall);

  std::vector<flow_action> Handle(const flow_event& aEvent, time_point aNow);

  [[nodiscard]] bool Ended() const { return mPhase == phase::ended; }
  [[nodiscard]] attempt_number Attempts() const { return mAttempts; }

private:
  enum class phase
  {
    created,
    admitting,
    committing,
    choosing,
    /// An attempt is out, without an accepted head.
    waiting,
    /// The head was accepted; a whole answer or the first bytes of a stream are to come.
    receiving,
    /// A stream goes to the caller.
    streaming,
    deciding_retry,
    ended
  };

  using action_list = std::vector<flow_action>;

  void On(const flow_started& aEvent);
  void On(const flow_admitted& aEvent);
  void On(const flow_not_admitted& aEvent);
  void On(const flow_intent_granted& aEvent);
  void On(const flow_answer_known& aEvent);
  void On(const flow_intent_denied& aEvent);
  void On(const flow_upstream_chosen& aEvent);
  void On(const flow_no_upstream& aEvent);
  void On(const flow_head& aEvent);
  void On(const flow_first_bytes& aEvent);
  void On(const flow_attempt_ended& aEvent);
  void On(const flow_answer_too_large& aEvent);
  void On(const flow_upstream_lost& aEvent);
  void On(const flow_retry_decided& aEvent);
  void On(const flow_caller_left& aEvent);
  void On(const flow_deadline_passed& aEvent);
  void On(const flow_stop& aEvent);

  [[nodiscard]] bool InFlight() const;
  [[nodiscard]] bool IsCurrent(attempt_number aAttempt) const;
  [[nodiscard]] bool Accepts(const flow_head& aHead) const;
  [[nodiscard]] ran_proof AttemptRan() const;
  void ChooseUpstream();
  /// The attempt is over without an answer; decide what follows.
  void AttemptFailed(refusal_reason aWhy, std::string aDetail, bool aProvedNotRun, bool aDraining);
  void CompleteAttempt();
  /// Cancels the attempt under way, if any.
  void CancelAttempt(attempt_outcome aOutcome);
  /// Ends the request without an answer.
  void GiveUp(refusal_reason aWhy, std::string aDetail, duration aRetryAfter);
  void CloseIntent(intent_outcome aOutcome);
  void End();

  flow_call mCall;
  phase mPhase = phase::created;
  attempt_number mAttempts = 0;
  attempt_identity mExpected;
  /// Version whose tokens the caller has got.
  std::string mStreamVersion;
  /// A stream's head was sent.
  bool mStreamOpen = false;
  bool mStreamedAnswer = false;
  bool mCallerLeft = false;
  /// An attempt was sent that may have run.
  bool mMayHaveRun = false;
  bool mIntentAsked = false;
  bool mIntentOpen = false;
  /// What the ledger proved of any call under the key.
  ran_proof mEarlierRan = ran_proof::no;
  std::uint64_t mTokensDelivered = 0;
  refusal_reason mLastFailure = refusal_reason::upstream_failed;
  std::string mLastDetail;
  action_list mActions;
};

} // namespace persimmon::routing
