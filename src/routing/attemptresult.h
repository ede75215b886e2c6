#pragma once

#include <cstdint>

namespace persimmon::routing {

/// Outcome of an attempt, as it affects the upstream's health.
enum class attempt_outcome
{
  /// The answer was received completely.
  completed,
  /// The upstream refused the request; it is alive.
  refused,
  /// The connection failed or broke, or the answer was invalid or late.
  failed,
  /// The router cancelled the attempt, for example because the caller disconnected; does not affect
  /// the upstream's health.
  cancelled
};

/// Outcome of an attempt and the work that it did.
struct attempt_result
{
  attempt_outcome outcome = attempt_outcome::completed;
  /// Tokens generated; 0 for plain services.
  std::uint32_t tokens = 0;
};

} // namespace persimmon::routing
