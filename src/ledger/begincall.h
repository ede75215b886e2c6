#pragma once

#include "ledger/beginresult.h"
#include "ledger/idempotencykey.h"

#include <string>

namespace persimmon::ledger {

/// Asks the ledger for permission to dispatch a non-idempotent call.
struct begin_request
{
  /// Value of the Idempotency-Key header, unparsed.
  std::string key;
  service_name service;
  customer_name customer;
  /// Hash of the request's body; a repeat with another digest is a key conflict.
  std::string digest;
  /// How long the caller waits for the ledger's reply.
  duration timeout{ 1000 };
};

/// Proves that an intent is committed. Permits exactly one dispatch and is needed to close the
/// intent.
struct dispatch_permit
{
  attempt_ref attempt;
  record_id record;
  shard_id shard;
};

/// Reply to a begin_request.
struct begin_reply
{
  begin_result result;
  /// Set only when the verdict is granted.
  std::optional<dispatch_permit> permit;
};

/// Outcome of a granted call.
struct close_outcome
{
  /// done, not_run or outcome_unknown.
  record_state state = record_state::outcome_unknown;
  /// Only with done; stored when it is small enough.
  std::optional<stored_response> response;
};

} // namespace persimmon::ledger
