#pragma once

#include "base/clock.h"

#include <cstdint>

namespace persimmon::routing {

/// Limits the retries of a service to a percentage of its first attempts, so that retries do not
/// amplify an overload. A token bucket: each first attempt adds a fraction of a token, each retry
/// takes one token, and unused tokens decay.
class retry_budget
{
public:
  explicit retry_budget(std::int64_t aRetryPercent);

  void SetPercent(std::int64_t aRetryPercent) { mPercent = aRetryPercent; }
  /// Records a first attempt.
  void OnFirstAttempt(time_point aNow);
  /// Takes one token for a retry. Returns false when less than one is left.
  bool TryTakeToken(time_point aNow);
  /// Returns the number of tokens left.
  [[nodiscard]] double TokensLeft(time_point aNow) const;

private:
  void Decay(time_point aNow);

  std::int64_t mPercent;
  double mTokens;
  time_point mDecayedAt{ INT64_MIN };
};

} // namespace persimmon::routing
