#pragma once

#include "dispatch/upstreamload.h"

#include <optional>

namespace persimmon::gateway {

/// What the head of an upstream's response proves.
struct response_info
{
  int status = 0;
  /// It answers the call that was sent, not an earlier one.
  bool matchesAttempt = false;
  /// It carries the upstream's proof that it made the answer.
  bool isSigned = false;
  /// The upstream states that it has not run the call and never will.
  bool notExecuted = false;
  /// The address belongs to another instance now, or the instance no longer is a head.
  bool misdirected = false;
  /// The body is not the one that the upstream made.
  bool bodyModified = false;
  /// The body is a stream of events.
  bool isEventStream = false;
  std::optional<dispatch::upstream_load> load;
};

} // namespace persimmon::gateway
