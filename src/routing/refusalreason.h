#pragma once

#include <array>
#include <string_view>

namespace persimmon::routing {

/// Why a call was not answered. docs/REFUSALS.md documents each reason.
enum class refusal_reason
{
  unknown_path,
  method_not_allowed,
  bad_path,
  missing_credentials,
  unknown_customer,
  unknown_model,
  unknown_service,
  service_retired,
  bad_deadline,
  bad_priority,
  body_too_large,
  invalid_utf8,
  not_json,
  duplicate_member,
  missing_member,
  bad_member,
  missing_idempotency_key,
  bad_idempotency_key,
  key_too_old,
  key_in_future,
  key_conflict,
  call_in_progress,
  outcome_unknown,
  answer_not_kept,
  ledger_full,
  ledger_overloaded,
  ledger_unavailable,
  customer_over_share,
  queue_full,
  wait_exceeds_deadline,
  deadline_exceeded,
  request_quarantined,
  no_upstream,
  upstream_refused,
  upstream_failed,
  upstream_mismatch,
  retry_budget_spent,
  answer_too_large,
  stream_broken,
  not_ready,
  stopping
};

/// Code, status and title that a refusal has in the response to the caller.
struct refusal_entry
{
  refusal_reason reason;
  /// Stable name, sent as the member `reason` of the problem document.
  std::string_view code;
  int status;
  std::string_view title;
};

/// Entries of all refusal reasons, in the order of the enumeration.
inline constexpr std::array kRefusals{
  refusal_entry{ refusal_reason::unknown_path, "unknown_path", 404, "Unknown path" },
  refusal_entry{ refusal_reason::method_not_allowed,
                 "method_not_allowed",
                 405,
                 "Method not allowed" },
  refusal_entry{ refusal_reason::bad_path, "bad_path", 400, "Path is not in normal form" },
  refusal_entry{ refusal_reason::missing_credentials,
                 "missing_credentials",
                 401,
                 "Bearer key missing" },
  refusal_entry{ refusal_reason::unknown_customer, "unknown_customer", 401, "Customer not served" },
  refusal_entry{ refusal_reason::unknown_model, "unknown_model", 404, "Unknown model" },
  refusal_entry{ refusal_reason::unknown_service, "unknown_service", 404, "Unknown service" },
  refusal_entry{ refusal_reason::service_retired, "service_retired", 410, "Service retired" },
  refusal_entry{ refusal_reason::bad_deadline, "bad_deadline", 400, "Bad deadline" },
  refusal_entry{ refusal_reason::bad_priority, "bad_priority", 400, "Bad priority" },
  refusal_entry{ refusal_reason::body_too_large, "body_too_large", 413, "Body too large" },
  refusal_entry{ refusal_reason::invalid_utf8, "invalid_utf8", 400, "Body is not UTF-8" },
  refusal_entry{ refusal_reason::not_json, "not_json", 400, "Body is not JSON" },
  refusal_entry{ refusal_reason::duplicate_member, "duplicate_member", 400, "Duplicate member" },
  refusal_entry{ refusal_reason::missing_member, "missing_member", 400, "Missing member" },
  refusal_entry{ refusal_reason::bad_member, "bad_member", 400, "Bad member" },
  refusal_entry{ refusal_reason::missing_idempotency_key,
                 "missing_idempotency_key",
                 400,
                 "Idempotency-Key missing" },
  refusal_entry{ refusal_reason::bad_idempotency_key,
                 "bad_idempotency_key",
                 400,
                 "Idempotency-Key is not a UUIDv7" },
  refusal_entry{ refusal_reason::key_too_old, "key_too_old", 409, "Idempotency-Key too old" },
  refusal_entry{ refusal_reason::key_in_future,
                 "key_in_future",
                 400,
                 "Idempotency-Key in the future" },
  refusal_entry{ refusal_reason::key_conflict,
                 "key_conflict",
                 422,
                 "Idempotency-Key used with another body" },
  refusal_entry{ refusal_reason::call_in_progress, "call_in_progress", 409, "Call in progress" },
  refusal_entry{ refusal_reason::outcome_unknown,
                 "outcome_unknown",
                 409,
                 "Outcome of an earlier call unknown" },
  refusal_entry{ refusal_reason::answer_not_kept,
                 "answer_not_kept",
                 409,
                 "Earlier call was run, its answer was not kept" },
  refusal_entry{ refusal_reason::ledger_full, "ledger_full", 503, "Ledger has no room" },
  refusal_entry{ refusal_reason::ledger_overloaded,
                 "ledger_overloaded",
                 503,
                 "Too many calls wait for the ledger" },
  refusal_entry{ refusal_reason::ledger_unavailable,
                 "ledger_unavailable",
                 503,
                 "Ledger unavailable" },
  refusal_entry{ refusal_reason::customer_over_share,
                 "customer_over_share",
                 429,
                 "Customer over its share" },
  refusal_entry{ refusal_reason::queue_full, "queue_full", 503, "Queue full" },
  refusal_entry{ refusal_reason::wait_exceeds_deadline,
                 "wait_exceeds_deadline",
                 503,
                 "Wait would exceed the deadline" },
  refusal_entry{ refusal_reason::deadline_exceeded, "deadline_exceeded", 504, "Deadline exceeded" },
  refusal_entry{ refusal_reason::request_quarantined,
                 "request_quarantined",
                 422,
                 "Request quarantined" },
  refusal_entry{ refusal_reason::no_upstream, "no_upstream", 503, "No upstream available" },
  refusal_entry{ refusal_reason::upstream_refused, "upstream_refused", 503, "Upstream refused" },
  refusal_entry{ refusal_reason::upstream_failed, "upstream_failed", 502, "Upstream failed" },
  refusal_entry{ refusal_reason::upstream_mismatch,
                 "upstream_mismatch",
                 502,
                 "Answer was not for this call" },
  refusal_entry{ refusal_reason::retry_budget_spent,
                 "retry_budget_spent",
                 503,
                 "Retry budget spent" },
  refusal_entry{ refusal_reason::answer_too_large, "answer_too_large", 502, "Answer too large" },
  refusal_entry{ refusal_reason::stream_broken, "stream_broken", 502, "Stream broken" },
  refusal_entry{ refusal_reason::not_ready, "not_ready", 503, "Router not ready" },
  refusal_entry{ refusal_reason::stopping, "stopping", 503, "Router stopping" },
};

/// Returns the entry for a reason.
const refusal_entry&
RefusalEntryFor(refusal_reason aReason);

} // namespace persimmon::routing
