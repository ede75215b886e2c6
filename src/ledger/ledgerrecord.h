#pragma once

#include "base/ids.h"
#include "ledger/ledgerlayout.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::ledger {

/// One life of a router; only it may close its own intents.
struct writer_identity
{
  router_id router;
  /// Differs between the lives of one router.
  std::uint64_t startId = 0;

  auto operator<=>(const writer_identity&) const = default;
};

/// One attempt to run a call, unique for all time.
struct attempt_ref
{
  writer_identity writer;
  std::uint64_t number = 0;

  auto operator<=>(const attempt_ref&) const = default;
};

enum class record_state
{
  /// The writer may dispatch the call, or has.
  intent,
  /// The call ran to its end.
  done,
  /// The call was never dispatched, or the upstream proved that it did not run.
  not_run,
  /// The call was dispatched and its outcome will never be known.
  outcome_unknown
};

/// A whole answer, kept so that a repeat of the call can be given it.
struct stored_response
{
  int status = 0;
  std::string contentType;
  std::string body;

  bool operator==(const stored_response&) const = default;
};

/// What the ledger knows of one key.
struct ledger_record
{
  attempt_ref attempt;
  /// Hash of the request's body.
  std::string digest;
  record_state state = record_state::intent;
  /// Only with state done, and only when it was small enough.
  std::optional<stored_response> response;

  bool operator==(const ledger_record&) const = default;
};

} // namespace persimmon::ledger
