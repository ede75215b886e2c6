#pragma once

#include "base/clock.h"
#include "routing/attemptresult.h"
#include "routing/refusal.h"
#include "routing/requestflowevents.h"
#include "routing/retrydecision.h"

#include <cstdint>
#include <string>
#include <variant>

namespace persimmon::routing {

/// Send flow_deadline_passed at the given time.
struct set_timer
{
  time_point at;
};

/// Request admission; the reply is flow_admitted or flow_not_admitted.
struct request_admission
{};

/// Request an intent from the ledger; the reply is flow_intent_granted, flow_stored_answer_found or
/// flow_intent_denied.
struct request_intent
{};

/// Choose an upstream that was not tried yet; the reply is flow_upstream_chosen or
/// flow_no_upstream.
struct request_upstream
{};

/// Request a decision on a retry; the reply is flow_retry_decided.
struct request_retry
{
  failed_attempt failed;
};

/// Send the request to the upstream chosen last.
struct dispatch_attempt
{
  attempt_number attempt = 0;
  /// Tokens already sent to the caller; the upstream resumes after them.
  std::uint64_t resumeAfter = 0;
};

/// Close the attempt's connection and discard what was received over it.
struct cancel_attempt
{
  attempt_number attempt = 0;
};

/// Report the outcome of an attempt to load balancing and to the poison tracker.
struct report_attempt
{
  attempt_number attempt = 0;
  attempt_outcome outcome = attempt_outcome::completed;
};

/// Send the head of a stream, the bytes received so far and all that follow.
struct open_stream
{
  attempt_number attempt = 0;
};

/// Continue the open stream with the bytes of a later attempt.
struct continue_stream
{
  attempt_number attempt = 0;
};

/// End the stream cleanly.
struct finish_stream
{};

/// Send an error event and close the connection, so that the partial answer is not taken for a
/// complete one.
struct break_stream
{
  refusal why;
};

/// Send the complete answer of the attempt.
struct deliver_answer
{
  attempt_number attempt = 0;
};

/// Send the answer that is stored in the ledger.
struct deliver_stored_answer
{};

/// Send a refusal instead of an answer.
struct send_refusal
{
  refusal why;
};

/// How a call with a granted intent ended.
enum class intent_outcome
{
  /// The call was answered.
  answered,
  /// The call was proved not to have run.
  not_run,
  /// The call may have run; its outcome is unknown.
  unknown
};

/// Record in the ledger the outcome of a call whose intent was granted.
struct close_intent
{
  intent_outcome outcome = intent_outcome::unknown;
};

/// Release the request's admission and its state. Always the last action.
struct end_request
{};

using flow_action = std::variant<set_timer,
                                 request_admission,
                                 request_intent,
                                 request_upstream,
                                 request_retry,
                                 dispatch_attempt,
                                 cancel_attempt,
                                 report_attempt,
                                 open_stream,
                                 continue_stream,
                                 finish_stream,
                                 break_stream,
                                 deliver_answer,
                                 deliver_stored_answer,
                                 send_refusal,
                                 close_intent,
                                 end_request>;

} // namespace persimmon::routing
