#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace persimmon::dispatch {

/// Why a call gets no answer of an upstream.
enum class plan_cause
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
PlanCauseName(plan_cause aCause);

/// How an upstream should rank a call among those that wait for a place.
enum class urgency
{
  /// Its stream has begun and stands still.
  resumed,
  normal,
  /// Its answer will be late whatever is done; those that can be in time go first.
  late
};

const char*
UrgencyName(urgency aUrgency);

/// Send the call to an upstream.
struct send_step
{
  instance_id upstream;
  /// When the upstream should stop work.
  time_point deadline;
  /// Ask for the stream after this event.
  std::optional<std::uint64_t> resumeAfter;
  /// Not the first upstream that gets the call.
  bool repeat = false;
  urgency rank = urgency::normal;
};

/// Ask again at a time, or when the upstreams change.
struct wait_step
{
  time_point until;
};

/// Answer that the call has not run and never will.
struct refuse_step
{
  plan_cause cause = plan_cause::no_upstream;
  /// When a repeat is likely to be served.
  duration retryAfter;
};

/// Answer that it is unknown whether the call has run.
struct fail_step
{
  plan_cause cause = plan_cause::upstream_lost;
};

/// Break off the answer that has begun; it cannot be finished.
struct cut_step
{
  plan_cause cause = plan_cause::upstream_lost;
};

/// What a call needs next.
using plan_step = std::variant<send_step, wait_step, refuse_step, fail_step, cut_step>;

} // namespace persimmon::dispatch
