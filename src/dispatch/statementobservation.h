#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "dispatch/upstreamstatements.h"

namespace persimmon::dispatch {

/// The statements of one response, and what gives them their meaning.
struct statement_observation
{
  instance_id upstream;
  incarnation incarnationId;
  upstream_statements statements;
  /// True when the upstream turned the request away as unavailable: only then it asks for a pause.
  bool isUnavailable = false;
  /// True when the upstream itself executed a call: a response without a limit then proves that
  /// there is none. Refusals may come from a part of it that states no limits.
  bool executed = false;
  /// Time at which the request was sent.
  time_point sentAt;
};

} // namespace persimmon::dispatch
