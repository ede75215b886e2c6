#pragma once

#include <cstdint>

namespace persimmon::routing {

/// How an attempt ended, as far as the upstream's health is concerned.
enum class attempt_outcome
{
  /// A whole answer.
  completed,
  /// The upstream refused; it is alive.
  refused,
  /// The connection failed or broke, the answer was wrong or did not come in time.
  failed,
  /// The caller left or another reason of our own; says nothing about the upstream.
  cancelled
};

struct attempt_result
{
  attempt_outcome outcome = attempt_outcome::completed;
  /// Tokens generated; 0 for plain services.
  std::uint32_t tokens = 0;
};

} // namespace persimmon::routing
