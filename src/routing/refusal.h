#pragma once

#include "base/clock.h"
#include "routing/refusalreason.h"

#include <string>

namespace persimmon::routing {

/// What the router can prove about the execution of a request.
enum class ran_proof
{
  /// The request was proved not to have run.
  no,
  /// The request may have run.
  unknown
};

/// The end of a call without an answer.
struct refusal
{
  refusal_reason reason = refusal_reason::not_ready;
  /// Describes the error in this call; may be empty.
  std::string detail;
  /// For all calls with the same idempotency key, or for this call when it has no key.
  ran_proof ran = ran_proof::no;
  /// For this call alone.
  ran_proof attemptRan = ran_proof::no;
  /// Time after which a retry makes sense; zero when it does not.
  duration retryAfter;
};

} // namespace persimmon::routing
