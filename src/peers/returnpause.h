#pragma once

#include "base/clock.h"
#include "base/random.h"

namespace persimmon::peers {

/// How long a process waits before it calls the platform again after a failure: the bound doubles
/// with each failure in a row, and the wait is spread evenly below it, so that many processes do
/// not come back in the same moment after an outage.
class return_pause
{
public:
  static constexpr duration kFirst{ 500 };
  static constexpr duration kLongest{ 5000 };

  /// Notes a failure and returns the pause before the next call.
  duration Failed(random_source& aRandom);
  void Succeeded() { mFailures = 0; }

private:
  int mFailures = 0;
};

} // namespace persimmon::peers
