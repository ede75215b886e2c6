#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace persimmon::routing {

/// Decision on a request that asked for admission.
enum class admission_verdict
{
  /// Dispatch the request.
  start,
  /// The queue is full and the customer uses at least its share.
  customer_over_share,
  /// The queue is full, and no queued request can be displaced.
  queue_full,
  /// The estimated wait ends after the deadline.
  wait_exceeds_deadline,
  /// The request can no longer meet its deadline, even if it starts now.
  deadline_passed,
  /// The customer is not in the service's document.
  unknown_customer
};

/// Returns the name of a verdict that logs, metrics and refusals use.
const char*
AdmissionVerdictName(admission_verdict aVerdict);

/// Decision on one request, to be carried out by the caller.
struct admission_action
{
  request_id request;
  admission_verdict verdict = admission_verdict::start;
  /// For refusals: time after which a retry makes sense; zero for none.
  duration retryAfter{};
  /// Time that the request spent in the queue.
  duration waited{};
};

} // namespace persimmon::routing
