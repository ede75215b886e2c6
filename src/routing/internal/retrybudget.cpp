#include "routing/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace persimmon::routing {
namespace {

/// Tokens of a service without traffic, so that infrequent failures can be retried.
constexpr double kReserveTokens = 1.0;
constexpr double kMaxTokens = 100.0;
/// Time in which the distance between the tokens and the reserve halves.
constexpr duration kTokenHalfLife = 10_s;
constexpr double kPercent = 100.0;

} // namespace

retry_budget::retry_budget(std::int64_t aRetryPercent)
  : mPercent(aRetryPercent)
  , mTokens(aRetryPercent > 0 ? kReserveTokens : 0)
{
}

double
retry_budget::TokensLeft(time_point aNow) const
{
  if (mPercent <= 0 || mDecayedAt.ms == INT64_MIN || aNow <= mDecayedAt) {
    return mTokens;
  }
  const double halfLives =
    static_cast<double>((aNow - mDecayedAt).ms) / static_cast<double>(kTokenHalfLife.ms);
  return kReserveTokens + (mTokens - kReserveTokens) * std::exp2(-halfLives);
}

void
retry_budget::Decay(time_point aNow)
{
  mTokens = TokensLeft(aNow);
  mDecayedAt = std::max(mDecayedAt, aNow);
}

void
retry_budget::OnFirstAttempt(time_point aNow)
{
  Decay(aNow);
  mTokens = std::min(kMaxTokens, mTokens + static_cast<double>(mPercent) / kPercent);
}

bool
retry_budget::TryTakeToken(time_point aNow)
{
  Decay(aNow);
  if (mPercent <= 0 || mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace persimmon::routing
