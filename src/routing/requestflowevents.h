#pragma once

#include "base/clock.h"
#include "routing/refusal.h"
#include "routing/retrydecision.h"

#include <cstdint>
#include <string>
#include <variant>

namespace persimmon::routing {

/// Counts the attempts of one request from 1.
using attempt_number = std::uint32_t;

/// What every response to an attempt must carry; members that are empty are not checked.
struct attempt_identity
{
  std::string attempt;
  std::string service;
  std::string version;
  std::string generation;

  bool operator==(const attempt_identity&) const = default;
};

/// The request was parsed and accepted.
struct flow_started
{};

struct flow_admitted
{};

/// The request will not be run now.
struct flow_not_admitted
{
  refusal_reason why = refusal_reason::queue_full;
  duration retryAfter;
};

/// The intent to dispatch stands in the ledger.
struct flow_intent_granted
{};

/// The ledger has the answer of an earlier call under the same key.
struct flow_answer_known
{};

/// The ledger did not grant the intent; this attempt was not and will not be run.
struct flow_intent_denied
{
  refusal_reason why = refusal_reason::ledger_unavailable;
  ran_proof ran = ran_proof::unknown;
  duration retryAfter;
};

struct flow_upstream_chosen
{
  attempt_identity expected;
};

struct flow_no_upstream
{
  refusal_reason why = refusal_reason::no_upstream;
  duration retryAfter;
};

/// Status and identity headers of a response.
struct flow_head
{
  attempt_number attempt = 0;
  int status = 0;
  attempt_identity identity;
  /// The upstream states that it did not run the request.
  bool provedNotRun = false;
  /// Tokens that the upstream leaves out, as it was asked to; 0 when it starts at the beginning.
  std::uint64_t resumedAfter = 0;
};

/// The first bytes of an answer that was accepted have come.
struct flow_first_bytes
{
  attempt_number attempt = 0;
};

/// How an attempt ended.
struct flow_attempt_ended
{
  attempt_number attempt = 0;
  /// The transport delivered the response whole, and a stream had its end mark.
  bool whole = false;
  /// No byte of the request left the router.
  bool notSent = false;
  /// Tokens of a stream that the caller has got over all attempts.
  std::uint64_t tokensDelivered = 0;
  std::string detail;
};

/// The answer of an attempt exceeds the router's bound.
struct flow_answer_too_large
{
  attempt_number attempt = 0;
};

/// The upstream of an attempt lost a member or went silent.
struct flow_upstream_lost
{
  attempt_number attempt = 0;
  /// Tokens of a stream that the caller has got over all attempts.
  std::uint64_t tokensDelivered = 0;
};

struct flow_retry_decided
{
  retry_verdict verdict = retry_verdict::attempts_spent;
};

struct flow_caller_left
{};

/// The time of a set_timer action has come.
struct flow_deadline_passed
{};

/// The router has to end before the request could finish.
struct flow_stop
{};

using flow_event = std::variant<flow_started,
                                flow_admitted,
                                flow_not_admitted,
                                flow_intent_granted,
                                flow_answer_known,
                                flow_intent_denied,
                                flow_upstream_chosen,
                                flow_no_upstream,
                                flow_head,
                                flow_first_bytes,
                                flow_attempt_ended,
                                flow_answer_too_large,
                                flow_upstream_lost,
                                flow_retry_decided,
                                flow_caller_left,
                                flow_deadline_passed,
                                flow_stop>;

} // namespace persimmon::routing
