#pragma once

namespace persimmon::routes {

/// Retry semantics of a call, declared by its route.
enum class call_kind
{
  /// May be executed any number of times.
  idempotent,
  /// Executed at most once per attempt of the caller.
  non_idempotent,
  /// Answered by a stream of events with increasing ids; non-idempotent unless it is resumable.
  streaming
};

/// Returns the name of a kind for logs and metrics.
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
