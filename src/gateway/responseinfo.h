#pragma once

#include "dispatch/upstreamstatements.h"

#include <string>
#include <vector>

namespace persimmon::gateway {

/// Properties of an upstream's response that follow from its status and headers.
struct response_info
{
  int status = 0;
  /// True when the response belongs to the attempt that was sent, not to an earlier one.
  bool matchesAttempt = false;
  /// True when the response carries the upstream's signature.
  bool isSigned = false;
  /// True when the upstream states that it has not executed the call and never will.
  bool notExecuted = false;
  /// True when the address now belongs to another instance, or the instance is no longer a group's
  /// head.
  bool misdirected = false;
  /// True when the upstream refused the call for what its caller asked; this says nothing of the
  /// upstream's health or load.
  bool refusedForCaller = false;
  /// True when the body is not the one that the upstream produced.
  bool bodyModified = false;
  /// True when the body is a stream of server-sent events.
  bool isEventStream = false;
  /// What the upstream states of itself.
  dispatch::upstream_statements statements;
  /// Names of headers that this process does not know; what they state has no effect.
  std::vector<std::string> unknownHeaders;
};

} // namespace persimmon::gateway
