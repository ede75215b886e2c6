#pragma once

#include "base/clock.h"
#include "routing/refusal.h"
#include "routing/retrydecision.h"

#include <cstdint>
#include <string>
#include <variant>

namespace persimmon::routing {

/// Number of an attempt of a request, from 1.
using attempt_number = std::uint32_t;

/// Identity that a response to an attempt must carry. Empty members are not checked.
struct attempt_identity
{
  /// Attempt id.
  std::string attempt;
  std::string service;
  /// Model version.
  std::string version;
  /// Generation of the group.
  std::string generation;

  bool operator==(const attempt_identity&) const = default;
};

/// The request was parsed and accepted.
struct flow_started
{};

/// Admission let the request start.
struct flow_admitted
{};

/// Admission refused the request.
struct flow_not_admitted
{
  refusal_reason why = refusal_reason::queue_full;
  duration retryAfter;
};

/// The intent to dispatch was recorded in the ledger.
struct flow_intent_granted
{};

/// The ledger has the answer of an earlier call with the same idempotency key.
struct flow_stored_answer_found
{};

/// The ledger did not grant the intent; this call was not and will not be run.
struct flow_intent_denied
{
  refusal_reason why = refusal_reason::ledger_unavailable;
  execution_status ran = execution_status::unknown;
  duration retryAfter;
};

/// An upstream was chosen for the next attempt.
struct flow_upstream_chosen
{
  attempt_identity expected;
};

/// No upstream can take the next attempt.
struct flow_no_upstream
{
  refusal_reason why = refusal_reason::no_upstream;
  duration retryAfter;
};

/// The head of a response: its status and identity headers.
struct flow_response_head
{
  attempt_number attempt = 0;
  int status = 0;
  attempt_identity identity;
  /// The upstream stated that it did not run the request.
  bool provedNotRun = false;
  /// Tokens that the upstream skips, as requested; 0 when the stream starts at the beginning.
  std::uint64_t resumedAfter = 0;
};

/// The first bytes of the body arrived, after the head was accepted.
struct flow_first_bytes
{
  attempt_number attempt = 0;
};

/// The response to an attempt ended, complete or not.
struct flow_attempt_ended
{
  attempt_number attempt = 0;
  /// The response was received completely, including the end marker of a stream.
  bool complete = false;
  /// No byte of the request was sent.
  bool notSent = false;
  /// Tokens of a stream sent to the caller, over all attempts.
  std::uint64_t tokensDelivered = 0;
  /// Describes a failure; may be empty.
  std::string detail;
};

/// The answer of an attempt exceeds the router's size limit.
struct flow_answer_too_large
{
  attempt_number attempt = 0;
};

/// The upstream of an attempt lost a member or is no longer observed.
struct flow_upstream_lost
{
  attempt_number attempt = 0;
  /// Tokens of a stream sent to the caller, over all attempts.
  std::uint64_t tokensDelivered = 0;
};

/// Decision on whether a failed attempt is retried.
struct flow_retry_decided
{
  retry_verdict verdict = retry_verdict::attempts_spent;
};

/// The caller disconnected.
struct flow_caller_disconnected
{};

/// The timer of a set_timer action expired.
struct flow_deadline_passed
{};

/// The router stops before the request has finished.
struct flow_stop
{};

using flow_event = std::variant<flow_started,
                                flow_admitted,
                                flow_not_admitted,
                                flow_intent_granted,
                                flow_stored_answer_found,
                                flow_intent_denied,
                                flow_upstream_chosen,
                                flow_no_upstream,
                                flow_response_head,
                                flow_first_bytes,
                                flow_attempt_ended,
                                flow_answer_too_large,
                                flow_upstream_lost,
                                flow_retry_decided,
                                flow_caller_disconnected,
                                flow_deadline_passed,
                                flow_stop>;

} // namespace persimmon::routing
