#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace persimmon::dispatch {

/// Reason why a call gets no complete response from an upstream.
enum class failure_cause
{
  /// No upstream currently accepts calls for the service and model.
  no_upstream,
  /// All upstreams are full or refused the call without running it, and no other may be tried.
  upstream_full,
  /// Most calls are late, and this router has as many in progress as it may.
  overloaded,
  /// All upstreams state limits that allow this process no call now.
  upstream_limited,
  /// All upstreams have asked this process for a pause.
  upstream_paused,
  /// All upstreams are in availability zones that are emptied.
  zone_emptied,
  /// The upstream that was running the call was lost.
  upstream_lost,
  /// The timeout of the caller or of the route has expired.
  time_up,
  /// This process is stopping.
  stopping,
  /// Upstreams crashed under the same request, so it is not sent again for a time.
  quarantined
};

/// Returns the name of a cause for logs and metrics.
const char*
FailureCauseName(failure_cause aCause);

/// Priority of a call in the queue of an upstream.
enum class queue_priority
{
  /// The stream has started and is stalled until an upstream resumes it.
  resumed,
  normal,
  /// The response will miss its target in any case; calls that can still meet theirs go first.
  late
};

/// Returns the name of a priority for logs.
const char*
QueuePriorityName(queue_priority aPriority);

/// Sends the call to an upstream.
struct send_action
{
  instance_id upstream;
  /// Time at which the upstream should stop working on the call.
  time_point deadline;
  /// Id of the event after which the stream resumes; empty to start from the beginning.
  std::optional<std::uint64_t> resumeAfter;
  /// The call was sent to another upstream before.
  bool isRetry = false;
  queue_priority priority = queue_priority::normal;
};

/// Waits until a time or until the upstreams change, whichever comes first.
struct wait_action
{
  time_point until;
};

/// Responds that the call has not run and never will.
struct refuse_action
{
  failure_cause cause = failure_cause::no_upstream;
  /// Time after which a retry is likely to succeed.
  duration retryAfter;
};

/// Responds that it is unknown whether the call has run.
struct fail_action
{
  failure_cause cause = failure_cause::upstream_lost;
};

/// Aborts a response that has started and cannot be completed.
struct abort_action
{
  failure_cause cause = failure_cause::upstream_lost;
};

/// Does nothing: another attempt of the call is in flight and may still be answered.
struct await_action
{};

/// Next action for a call.
using call_action =
  std::variant<send_action, wait_action, refuse_action, fail_action, abort_action, await_action>;

} // namespace persimmon::dispatch
