#pragma once

#include "base/clock.h"
#include "routing/retrybudget.h"

#include <cstdint>

namespace persimmon::routing {

/// Attempts that one request may have, the first included.
constexpr std::uint32_t kMaxAttempts = 2;
/// Attempts when all earlier ones were refused by upstreams that drain.
constexpr std::uint32_t kMaxReroutes = 4;

/// What is known of a failed attempt.
struct failed_attempt
{
  /// Attempts so far, this one included.
  std::uint32_t attempts = 1;
  /// The upstream proved that nothing ran, or no byte of the request left.
  bool provedNotRun = false;
  /// The upstream refused because it drains or loads; implies provedNotRun.
  bool draining = false;
  /// The call may be repeated.
  bool idempotent = false;
  /// Bytes of the answer that the caller has got.
  std::uint64_t bytesDelivered = 0;
  /// The engine resumes streams after the tokens delivered.
  bool resumable = false;
  time_point deadline{ INT64_MAX };
  /// Time that an attempt usually takes to its first byte.
  duration expected{};
};

enum class retry_verdict
{
  /// Send the request again from its beginning.
  repeat,
  /// Go on with the stream on another upstream.
  resume,
  /// The call may have run and must not be repeated.
  may_have_run,
  /// The caller has a part of the answer, and the engine cannot resume it.
  partly_delivered,
  attempts_spent,
  /// The deadline would pass before the first byte.
  deadline_too_near,
  budget_spent
};

/// Name of a verdict as logs and metrics write it.
const char*
RetryVerdictName(retry_verdict aVerdict);

/// Decides what follows a failed attempt; takes from the budget only for `repeat` and `resume`.
/// A reroute after a draining upstream's refusal is free, since it adds no work to the service.
retry_verdict
DecideRetry(const failed_attempt& aFailed, retry_budget& aBudget, time_point aNow);

} // namespace persimmon::routing
