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

/// Bring back flow_deadline_passed at this time.
struct set_timer
{
  time_point at;
};

/// Ask the admission; it answers flow_admitted or flow_not_admitted.
struct ask_admission
{};

/// Ask the ledger; it answers flow_intent_granted, flow_answer_known or flow_intent_denied.
struct ask_intent
{};

/// Choose an upstream that was not tried yet; answers flow_upstream_chosen or flow_no_upstream.
struct ask_upstream
{};

/// Ask for a retry; answers flow_retry_decided.
struct ask_retry
{
  failed_attempt failed;
};

/// Send the request to the upstream chosen last.
struct dispatch_attempt
{
  attempt_number attempt = 0;
  /// Tokens that the caller has got; the upstream goes on after them.
  std::uint64_t resumeAfter = 0;
};

/// Close the attempt's connection and forget what came over it.
struct cancel_attempt
{
  attempt_number attempt = 0;
};

/// Tell the upstream's health, load and suspects how the attempt ended.
struct report_attempt
{
  attempt_number attempt = 0;
  attempt_outcome outcome = attempt_outcome::completed;
};

/// Send the head of a stream, what has come of it and all that will come.
struct open_stream
{
  attempt_number attempt = 0;
};

/// Let a stream go on with the bytes of a later attempt.
struct continue_stream
{
  attempt_number attempt = 0;
};

/// End the stream cleanly.
struct finish_stream
{};

/// Send an error event and cut the connection, so that nobody takes the answer for a whole one.
struct break_stream
{
  refusal why;
};

/// Send the attempt's whole answer.
struct deliver_answer
{
  attempt_number attempt = 0;
};

/// Send the answer that the ledger keeps.
struct deliver_known_answer
{};

struct send_refusal
{
  refusal why;
};

enum class intent_outcome
{
  done,
  not_run,
  lost
};

/// Record in the ledger how a granted call ended.
struct close_intent
{
  intent_outcome outcome = intent_outcome::lost;
};

/// The request is over: give up its place and forget it. Always the last action.
struct end_request
{};

using flow_action = std::variant<set_timer,
                                 ask_admission,
                                 ask_intent,
                                 ask_upstream,
                                 ask_retry,
                                 dispatch_attempt,
                                 cancel_attempt,
                                 report_attempt,
                                 open_stream,
                                 continue_stream,
                                 finish_stream,
                                 break_stream,
                                 deliver_answer,
                                 deliver_known_answer,
                                 send_refusal,
                                 close_intent,
                                 end_request>;

} // namespace persimmon::routing
