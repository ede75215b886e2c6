#pragma once

#include "base/clock.h"
#include "ledger/ledgerrecord.h"

#include <optional>

namespace persimmon::ledger {

/// The ledger's decision on a begin_request.
enum class begin_verdict
{
  /// The intent is committed: the caller dispatches once, then calls Close().
  granted,
  /// An earlier attempt was executed completely; its response is included if it was stored.
  done,
  /// An earlier attempt is in flight.
  in_progress,
  /// An earlier attempt may have been executed; its outcome will never be known.
  unknown,
  /// The key was used with another request body.
  key_conflict,
  /// The key is not a UUIDv7.
  bad_key,
  /// The key is older than the ledger's retention.
  key_too_old,
  /// The key's timestamp is too far in the future.
  key_in_future,
  /// The key's shard object holds the maximum number of records.
  full,
  /// Too many calls at this router wait for the ledger.
  overloaded,
  /// The store did not respond before the caller's timeout.
  store_unavailable
};

/// Whether any call under a key was executed.
enum class execution_status
{
  /// No call was executed.
  not_executed,
  /// One call was executed completely.
  executed,
  /// One call may have been executed.
  unknown
};

/// Result of ledger_service::Begin(). Unless the verdict is granted, this attempt was not and never
/// will be executed.
struct begin_result
{
  begin_verdict verdict = begin_verdict::store_unavailable;
  /// Whether any call under this key was executed, for the reply to the caller.
  execution_status execution = execution_status::unknown;
  /// Set only with verdict done, and only when the response was stored.
  std::optional<stored_response> response;
  /// Delay before a retry is useful; 0 when a retry is not useful.
  duration retryAfter;

  bool operator==(const begin_result&) const = default;
};

/// Returns the name of a verdict for logs, metrics and reason codes.
const char*
VerdictName(begin_verdict aVerdict);

} // namespace persimmon::ledger
