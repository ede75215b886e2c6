#include "dispatch/ratelimitplan.h"

#include <algorithm>
#include <cmath>

namespace persimmon::dispatch {
namespace {

/// Fraction of the limit that is used; the rest allows for calls that take different times to
/// arrive and for routers that disagree for a moment on who holds a share.
constexpr double kUsedFraction = 0.9;
/// Lowest rate that is used in total, in calls per second: without any call nobody learns that a
/// limit of zero has ended.
constexpr double kMinTotalRate = 0.2;
/// Routers with a share, beside one for each call per second of the limit.
constexpr double kExtraHolders = 2;
/// Permits that may accumulate in total, beside those of one second of the limit.
constexpr double kExtraPermits = 3;
/// Shortest turn; longer than the interval at which routers repeat a statement to each other.
constexpr duration kMinTurn = 5_s;
/// Permits of one holder that a turn allows for at least.
constexpr double kPermitsPerTurn = 3;

/// Routers with a share in the calls of a cold upstream, for each call per second that it takes.
/// Each may have saved its permits, so that at most 1.6 times the rate arrives in any second, and
/// less where the holders are at their most.
constexpr double kWarmupHoldersPerRate = 0.5;
constexpr double kMaxWarmupHolders = 25;
constexpr double kWarmupPermits = 1.2;
/// A warm-up ends by itself; its shares do not pass on.
constexpr duration kNoTurn = 3600_s;

} // namespace

rate_limit_plan
PlanRateLimit(request_rate aLimit, std::size_t aRouters)
{
  const double totalRate = std::max(aLimit.PerSecond() * kUsedFraction, kMinTotalRate);
  const double wholeRate = std::floor(aLimit.PerSecond());
  const auto routers = static_cast<double>(std::max<std::size_t>(aRouters, 1));
  const double holders = std::min(wholeRate + kExtraHolders, routers);
  rate_limit_plan plan;
  plan.holders = static_cast<std::size_t>(holders);
  plan.share = { totalRate / holders, (wholeRate + kExtraPermits) / holders };
  const double secondsPerPermit = holders / totalRate;
  plan.turn =
    std::max(kMinTurn, { static_cast<std::int64_t>(kPermitsPerTurn * secondsPerPermit * 1000) });
  return plan;
}

rate_limit_plan
PlanWarmup(request_rate aRate, std::size_t aRouters)
{
  const double totalRate = std::max(aRate.PerSecond(), kMinTotalRate);
  const auto routers = static_cast<double>(std::max<std::size_t>(aRouters, 1));
  const double wanted =
    std::clamp(std::floor(totalRate * kWarmupHoldersPerRate), 1.0, kMaxWarmupHolders);
  const double holders = std::min(wanted, routers);
  rate_limit_plan plan;
  plan.holders = static_cast<std::size_t>(holders);
  plan.share = { totalRate / holders, kWarmupPermits };
  plan.turn = kNoTurn;
  return plan;
}

bool
HoldsShare(const rate_limit_plan& aPlan, std::size_t aRank, std::size_t aRouters, duration aSilence)
{
  const std::size_t routers = std::max<std::size_t>(aRouters, 1);
  const auto turn =
    static_cast<std::size_t>(std::max<std::int64_t>(aSilence.ms, 0) / aPlan.turn.ms);
  const std::size_t firstRank = turn * aPlan.holders % routers;
  return (aRank + routers - firstRank) % routers < aPlan.holders;
}

} // namespace persimmon::dispatch
