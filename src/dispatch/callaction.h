#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace persimmon::dispatch {

/// Why a call gets no answer of an upstream.
enum class failure_cause
{
  /// No upstream takes calls of this service and model at present.
  no_upstream,
  /// Upstreams refused it as full, and no other may be tried.
  upstream_full,
  /// The upstream that held it was lost.
  upstream_lost,
  /// The time that the caller or the route allows is over.
  time_up,
  /// This process is stopping.
  stopping
};

const char*
FailureCauseName(failure_cause aCause);

/// How an upstream should rank a call among those that wait for a place.
enum class queue_priority
{
  /// Its stream has begun and stands still.
  resumed,
  normal,
  /// Its answer will be late whatever is done; those that can be in time go first.
  late
};

const char*
QueuePriorityName(queue_priority aPriority);

/// Send the call to an upstream.
struct send_action
{
  instance_id upstream;
  /// When the upstream should stop work.
  time_point deadline;
  /// Ask for the stream after this event.
  std::optional<std::uint64_t> resumeAfter;
  /// Not the first upstream that gets the call.
  bool isRetry = false;
  queue_priority priority = queue_priority::normal;
};

/// Ask again at a time, or when the upstreams change.
struct wait_action
{
  time_point until;
};

/// Answer that the call has not run and never will.
struct refuse_action
{
  failure_cause cause = failure_cause::no_upstream;
  /// When a repeat is likely to be served.
  duration retryAfter;
};

/// Answer that it is unknown whether the call has run.
struct fail_action
{
  failure_cause cause = failure_cause::upstream_lost;
};

/// Break off the answer that has begun; it cannot be finished.
struct abort_action
{
  failure_cause cause = failure_cause::upstream_lost;
};

/// What a call needs next.
using call_action =
  std::variant<send_action, wait_action, refuse_action, fail_action, abort_action>;

} // namespace persimmon::dispatch
