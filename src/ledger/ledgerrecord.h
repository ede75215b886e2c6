#pragma once

#include "base/ids.h"
#include "ledger/ledgerlayout.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::ledger {

/// Identifies one process of a router. Only the process that wrote an intent may close it.
struct writer_identity
{
  router_id router;
  /// Differs between process starts of the same router.
  std::uint64_t startId = 0;

  auto operator<=>(const writer_identity&) const = default;
};

/// Identifies one attempt to execute a call; never reused.
struct attempt_ref
{
  writer_identity writer;
  std::uint64_t number = 0;

  auto operator<=>(const attempt_ref&) const = default;
};

/// State of a record; stored as its number, so the order of the values must not change.
enum class record_state
{
  /// The writer may dispatch the call or has dispatched it.
  intent,
  /// The call was executed completely.
  done,
  /// The call was never dispatched, or the upstream proved that it was not executed.
  not_run,
  /// The call was dispatched and its outcome will never be known.
  outcome_unknown
};

/// A complete response, stored so that it can be returned to a repeat of the call.
struct stored_response
{
  int status = 0;
  std::string contentType;
  std::string body;

  bool operator==(const stored_response&) const = default;
};

/// The ledger's record of a key.
struct ledger_record
{
  attempt_ref attempt;
  /// Hash of the request's body.
  std::string digest;
  record_state state = record_state::intent;
  /// Set only with state done, and only when the response was small enough to store.
  std::optional<stored_response> response;

  bool operator==(const ledger_record&) const = default;
};

} // namespace persimmon::ledger
