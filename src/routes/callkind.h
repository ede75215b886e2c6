#pragma once

namespace persimmon::routes {

/// What may be repeated of a call; it follows from the call's route alone.
enum class call_kind
{
  /// May run any number of times.
  idempotent,
  /// Runs at most once for each attempt of the caller.
  non_idempotent,
  /// Answered by a stream of events with growing ids; non-idempotent unless it may be resumed.
  streaming
};

/// Name of a kind for logs and metrics.
constexpr const char*
CallKindName(call_kind aKind)
{
  switch (aKind) {
    case call_kind::idempotent:
      return "idempotent";
    case call_kind::non_idempotent:
      return "non_idempotent";
    case call_kind::streaming:
      return "streaming";
  }
  return "unknown";
}

} // namespace persimmon::routes
