#pragma once

#include "base/clock.h"
#include "routing/refusalreason.h"

#include <string>

namespace persimmon::routing {

/// Whether something was run, as far as it can be proved.
enum class ran_proof
{
  /// Proved that it was not run.
  no,
  unknown
};

/// A call's end without an answer.
struct refusal
{
  refusal_reason reason = refusal_reason::not_ready;
  /// Says what was wrong with this call; may be empty.
  std::string detail;
  /// Of any call under the same idempotency key, or of this one when it has none.
  ran_proof ran = ran_proof::no;
  /// Of this call alone.
  ran_proof attemptRan = ran_proof::no;
  /// When a new try makes sense; zero when it does not.
  duration retryAfter;
};

} // namespace persimmon::routing
