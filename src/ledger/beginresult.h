#pragma once

#include "base/clock.h"
#include "ledger/ledgerrecord.h"

#include <optional>

namespace persimmon::ledger {

enum class begin_verdict
{
  /// The intent is committed: dispatch once, then Close().
  granted,
  /// An earlier attempt ran to its end; its answer is there unless it was not kept.
  done,
  /// An earlier attempt is under way.
  in_progress,
  /// An earlier attempt may have run; that will not be known.
  unknown,
  /// The key was used with another body.
  key_conflict,
  /// The key is no UUIDv7.
  bad_key,
  /// The key is older than the ledger remembers.
  key_too_old,
  /// The key's time lies too far ahead.
  key_in_future,
  /// The key's object has no room for another record.
  full,
  /// This router has too many calls waiting for the ledger.
  overloaded,
  /// The store did not answer in time.
  store_unavailable
};

/// What is known of all calls under a key.
enum class execution_status
{
  /// None was run.
  not_executed,
  /// One was run to its end.
  executed,
  /// One may have been run.
  unknown
};

/// Answer to a Begin. Unless the verdict is granted, this attempt was not run and never will be.
struct begin_result
{
  begin_verdict verdict = begin_verdict::store_unavailable;
  /// What the caller may be told about any call under this key.
  execution_status execution = execution_status::unknown;
  /// Only with verdict done, and only when it was kept.
  std::optional<stored_response> response;
  /// When asking again makes sense; 0 when it does not.
  duration retryAfter;

  bool operator==(const begin_result&) const = default;
};

/// Name of a verdict for logs, metrics and reason codes.
const char*
VerdictName(begin_verdict aVerdict);

} // namespace persimmon::ledger
