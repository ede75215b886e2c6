#pragma once

#include "base/clock.h"
#include "base/random.h"

namespace persimmon::peers {

/// Backoff with full jitter before a process calls the platform again after a failure. The upper
/// bound doubles with each consecutive failure and the delay is uniformly distributed below it, so
/// that many processes do not retry at the same time after an outage.
class retry_backoff
{
public:
  /// Upper bound of the delay after the first failure.
  static constexpr duration kInitialBound{ 500 };
  /// Largest upper bound of the delay.
  static constexpr duration kMaxBound{ 5000 };

  /// Records a failure and returns the delay before the next call.
  duration OnFailure(random_source& aRandom);
  /// Records a success; the next failure starts from the first bound.
  void OnSuccess() { mFailures = 0; }

private:
  int mFailures = 0;
};

} // namespace persimmon::peers
