#pragma once

#include "base/clock.h"
#include "routing/requestflowactions.h"
#include "routing/requestflowevents.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::routing {

/// The properties of a call that determine its flow.
struct flow_call
{
  /// The call may be repeated; otherwise it runs at most once, after an intent is recorded in the
  /// ledger.
  bool idempotent = true;
  /// The caller wants the answer as a stream.
  bool streamed = false;
  /// The upstreams can resume a stream after a given number of tokens.
  bool resumable = false;
  time_point deadline{ INT64_MAX };
};

/// State machine of one request from its acceptance to its end: admission, intent, attempts, the
/// response to the caller, and what a refusal states about execution. Does no I/O; events that are
/// late, duplicate, out of order or for an attempt that has ended have no effect.
///
/// The caller receives exactly one of: a complete answer, a finished stream, a refusal, a broken
/// stream. A call that must not be repeated is dispatched at most once, after its intent was
/// granted. When its caller disconnects, it continues, so that a retry finds its outcome in the
/// ledger.
class request_flow
{
public:
  explicit request_flow(const flow_call& aCall);

  /// Applies an event and returns the actions to carry out, in order.
  std::vector<flow_action> Handle(const flow_event& aEvent, time_point aNow);

  [[nodiscard]] bool Ended() const { return mPhase == phase::ended; }
  /// Returns the number of attempts dispatched.
  [[nodiscard]] attempt_number Attempts() const { return mAttempts; }

private:
  enum class phase
  {
    created,
    /// Waiting for admission.
    admitting,
    /// Waiting for the ledger to grant the intent.
    committing,
    /// Waiting for the choice of an upstream.
    choosing,
    /// An attempt was dispatched; its response head has not been accepted.
    waiting,
    /// The head was accepted; the complete answer or the first bytes of a stream are outstanding.
    receiving,
    /// A stream is being relayed to the caller.
    streaming,
    /// Waiting for the decision on a retry.
    deciding_retry,
    ended
  };

  using action_list = std::vector<flow_action>;

  void On(const flow_started& aEvent);
  void On(const flow_admitted& aEvent);
  void On(const flow_not_admitted& aEvent);
  void On(const flow_intent_granted& aEvent);
  void On(const flow_stored_answer_found& aEvent);
  void On(const flow_intent_denied& aEvent);
  void On(const flow_upstream_chosen& aEvent);
  void On(const flow_no_upstream& aEvent);
  void On(const flow_response_head& aEvent);
  void On(const flow_first_bytes& aEvent);
  void On(const flow_attempt_ended& aEvent);
  void On(const flow_answer_too_large& aEvent);
  void On(const flow_upstream_lost& aEvent);
  void On(const flow_retry_decided& aEvent);
  void On(const flow_caller_disconnected& aEvent);
  void On(const flow_deadline_passed& aEvent);
  void On(const flow_stop& aEvent);

  [[nodiscard]] bool InFlight() const;
  [[nodiscard]] bool IsCurrent(attempt_number aAttempt) const;
  [[nodiscard]] bool MatchesExpected(const flow_response_head& aHead) const;
  [[nodiscard]] execution_status AttemptExecution() const;
  void ChooseUpstream();
  /// Ends an attempt without an answer: asks for a retry decision, or ends a call that must not be
  /// repeated.
  void AttemptFailed(refusal_reason aWhy, std::string aDetail, bool aProvedNotRun, bool aDraining);
  void CompleteAttempt();
  /// Cancels the attempt in flight, if any.
  void CancelAttempt(attempt_outcome aOutcome);
  /// Ends the request with a refusal, or with a broken stream once a stream was opened.
  void EndWithoutAnswer(refusal_reason aWhy, std::string aDetail, duration aRetryAfter);
  void CloseIntent(intent_outcome aOutcome);
  void End();

  flow_call mCall;
  phase mPhase = phase::created;
  attempt_number mAttempts = 0;
  attempt_identity mExpected;
  /// Model version that generated the tokens sent to the caller.
  std::string mStreamVersion;
  /// The head of a stream was sent to the caller.
  bool mStreamOpen = false;
  /// The response to the current attempt is relayed as a stream.
  bool mStreamedAnswer = false;
  bool mCallerDisconnected = false;
  /// At least one dispatched attempt may have run.
  bool mMayHaveRun = false;
  /// The ledger was asked for an intent and has not replied.
  bool mIntentRequested = false;
  /// The intent was granted and is not closed.
  bool mIntentOpen = false;
  /// What the ledger proved about earlier calls with the same idempotency key.
  execution_status mEarlierExecution = execution_status::not_run;
  std::uint64_t mTokensDelivered = 0;
  refusal_reason mLastFailure = refusal_reason::upstream_failed;
  std::string mLastDetail;
  action_list mActions;
};

} // namespace persimmon::routing
