#pragma once

#include <string>

namespace persimmon::upstream {

enum class call_end
{
  /// The response came whole.
  whole,
  /// No byte of the request left this process.
  not_sent,
  /// The request may have reached the upstream; the response did not come whole.
  maybe_sent
};

/// How a call ended.
struct call_outcome
{
  call_end end = call_end::whole;
  /// With not_sent: the address was reached and nobody listens there.
  bool refused = false;
  /// Text of the failure for logs.
  std::string detail;
};

} // namespace persimmon::upstream
