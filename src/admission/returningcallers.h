#pragma once

#include "base/clock.h"

#include <string>
#include <unordered_map>

namespace persimmon::admission {

/// Recognises callers who come back after a refusal: they have less time left than other callers of
/// the same route have at first. Such a call cannot be in time any more, since its target counts
/// from its caller's first attempt, and has been told once to come back. Does no I/O and reads no
/// clock.
class returning_callers
{
public:
  /// Records how long the caller of a call waits, and returns whether it has probably waited
  /// before. The first callers of a route count as new.
  bool IsReturning(const std::string& aRoute, duration aTimeout, time_point aNow);

private:
  struct longest
  {
    duration timeout;
    time_point seenAt;
  };

  std::unordered_map<std::string, longest> mByRoute;
};

} // namespace persimmon::admission
