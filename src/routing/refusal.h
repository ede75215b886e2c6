#pragma once

#include "base/clock.h"
#include "routing/refusalreason.h"

#include <string>

namespace persimmon::routing {

/// What the router can prove about the execution of a request.
enum class execution_status
{
  /// The request was proved not to have run.
  not_run,
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
  execution_status ran = execution_status::not_run;
  /// For this call alone.
  execution_status attemptRan = execution_status::not_run;
  /// Time after which a retry makes sense; zero when it does not.
  duration retryAfter;
};

} // namespace persimmon::routing
