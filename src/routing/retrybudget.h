#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::routing {

/// Limits a service's retries to a share of its first attempts, so that retries cannot multiply an
/// overload. A token bucket: each first attempt adds a part of a token, each retry takes one, and
/// unused tokens decay.
class retry_budget
{
public:
  explicit retry_budget(std::int64_t aRetryPercent);

  void SetPercent(std::int64_t aRetryPercent) { mPercent = aRetryPercent; }
  /// Records a first attempt.
  void OnFirstAttempt(time_point aNow);
  /// Takes a retry out of the budget; false when it is spent.
  bool TryTake(time_point aNow);
  /// Tokens left.
  [[nodiscard]] double Left(time_point aNow) const;

private:
  void Decay(time_point aNow);

  std::int64_t mPercent;
  double mTokens;
  time_point mDecayedAt{ INT64_MIN };
};

} // namespace persimmon::routing
