#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace persimmon::routing {

enum class admission_verdict
{
  /// Dispatch it.
  start,
  /// The queue is full and the customer uses at least its share.
  customer_over_share,
  /// The queue is full of requests that go before this one.
  queue_full,
  /// The wait would outlast the deadline.
  wait_exceeds_deadline,
  /// The deadline passed while it waited.
  deadline_passed,
  /// The document does not name the customer.
  unknown_customer
};

/// Name of a verdict as logs, metrics and refusals write it.
const char*
AdmissionVerdictName(admission_verdict aVerdict);

/// What to do with a request that asked for admission.
struct admission_action
{
  request_id request;
  admission_verdict verdict = admission_verdict::start;
  /// For refusals: when a new try makes sense.
  duration retryAfter{};
  /// How long the request waited.
  duration waited{};
};

} // namespace persimmon::routing
