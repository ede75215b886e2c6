#pragma once

#include <string>

namespace persimmon::upstream {

/// Result of a call as far as the caller can determine it.
enum class call_end
{
  /// The complete response was received.
  whole,
  /// No byte of the request was sent.
  not_sent,
  /// The request may have reached the upstream, but no complete response was received.
  maybe_sent
};

/// Result of a call and the failure's details.
struct call_outcome
{
  call_end end = call_end::whole;
  /// With not_sent: the host refused the connection because nothing listens on the port.
  bool refused = false;
  /// Status with which the relay answered the request for a tunnel; 0 when no whole head that may
  /// be used came.
  int relayStatus = 0;
  /// The body of the response exceeded the largest one that the call allows.
  bool bodyTooLarge = false;
  /// Error text for logs; empty on success.
  std::string detail;
};

} // namespace persimmon::upstream
