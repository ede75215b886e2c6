#pragma once

#include "base/clock.h"
#include "base/random.h"

namespace persimmon::peers {

/// Backoff with full jitter before a process calls the platform again after a failure. The upper
/// bound doubles with each consecutive failure and the delay is uniformly distributed below it, so
/// that many processes do not retry at the same time after an outage.
class return_pause
{
public:
  /// Upper bound of the delay after the first failure.
  static constexpr duration kFirst{ 500 };
  /// Largest upper bound of the delay.
  static constexpr duration kLongest{ 5000 };

  /// Records a failure and returns the delay before the next call.
  duration Failed(random_source& aRandom);
  /// Records a success; the next failure starts from the first bound.
  void Succeeded() { mFailures = 0; }

private:
  int mFailures = 0;
};

} // namespace persimmon::peers
