#pragma once

#include "base/clock.h"
#include "routing/retrybudget.h"

#include <cstdint>

namespace persimmon::routing {

/// Maximum attempts of a request, the first included.
constexpr std::uint32_t kMaxAttempts = 2;
/// Maximum attempts when the last one was refused by a draining upstream.
constexpr std::uint32_t kMaxAttemptsAfterDraining = 4;

/// A failed attempt, as input to DecideRetry().
struct failed_attempt
{
  /// Number of attempts so far, this one included.
  std::uint32_t attempts = 1;
  /// The upstream proved that nothing ran, or no byte of the request was sent.
  bool provedNotRun = false;
  /// The upstream refused because it is draining or loading; implies provedNotRun.
  bool draining = false;
  /// The call may be repeated.
  bool idempotent = false;
  /// Bytes of the answer already sent to the caller.
  std::uint64_t bytesDelivered = 0;
  /// The engine can resume a stream after the tokens already delivered.
  bool resumable = false;
  time_point deadline{ INT64_MAX };
  /// Expected time from dispatch to the first byte.
  duration expectedTimeToFirstByte{};
};

/// Decision on a failed attempt.
enum class retry_verdict
{
  /// Send the request again from the beginning.
  repeat,
  /// Resume the stream on another upstream.
  resume,
  /// The call may have run and must not be repeated.
  may_have_run,
  /// Part of the answer was sent to the caller, and the engine cannot resume it.
  partly_delivered,
  /// The maximum number of attempts is reached.
  attempts_spent,
  /// The deadline would pass before the expected first byte.
  deadline_too_near,
  /// The service's retry budget has no token left.
  budget_spent
};

/// Returns the name of a verdict that logs and metrics use.
const char*
RetryVerdictName(retry_verdict aVerdict);

/// Decides whether a failed attempt is retried. Takes a token from the budget only for `repeat` and
/// `resume`. A retry after a draining upstream's refusal takes no token, since it adds no work to
/// the service.
retry_verdict
DecideRetry(const failed_attempt& aFailed, retry_budget& aBudget, time_point aNow);

} // namespace persimmon::routing
