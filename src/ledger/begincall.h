#pragma once

#include "ledger/beginresult.h"
#include "ledger/idempotencykey.h"

#include <string>

namespace persimmon::ledger {

/// A call that may not be repeated, before its dispatch.
struct begin_request
{
  /// The Idempotency-Key header as it came.
  std::string key;
  service_name service;
  customer_name customer;
  /// Hash of the request's body; a repeat must bring the same.
  std::string digest;
  /// How long the caller can wait for the ledger.
  duration timeout{ 1000 };
};

/// Proof that an intent is committed, floorNeeded to close it. Used for one dispatch only.
struct dispatch_permit
{
  attempt_ref attempt;
  record_id record;
  shard_id shard;
};

/// Answer to a begin_request.
struct begin_reply
{
  begin_result result;
  /// Only with verdict granted.
  std::optional<dispatch_permit> permit;
};

/// How a granted call ended.
struct close_outcome
{
  /// done, not_run or lost.
  record_state state = record_state::outcome_unknown;
  /// With done; kept when small enough.
  std::optional<stored_response> response;
};

} // namespace persimmon::ledger
