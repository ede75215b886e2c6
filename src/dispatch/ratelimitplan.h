#pragma once

#include "base/clock.h"
#include "base/requestrate.h"
#include "dispatch/permitbucket.h"

#include <cstddef>

namespace persimmon::dispatch {

/// Division of an upstream's rate limit among routers. Only some routers hold a share, since every
/// router that may send at once adds a call to what the upstream can get within a short time: with
/// a share each, many routers exceed a low limit by their first calls alone.
struct rate_limit_plan
{
  /// Number of routers with a share.
  std::size_t holders = 1;
  rate_limit_share share;
  /// Time without a statement of the upstream after which the share passes to the next routers.
  duration turn;
};

/// Divides a limit among aRouters routers, at least one.
rate_limit_plan
PlanRateLimit(request_rate aLimit, std::size_t aRouters);

/// Divides the rate of calls that an upstream takes while it is cold among aRouters routers. The
/// rate holds for each second, so that the permits of all holders together are few.
rate_limit_plan
PlanWarmup(request_rate aRate, std::size_t aRouters);

/// Returns whether the router with a rank, from 0, among aRouters routers has a share. aSilence is
/// the time since the upstream's latest statement: the routers with a share may have no calls for
/// it, and then nobody would learn of the limit's end.
bool
HoldsShare(const rate_limit_plan& aPlan,
           std::size_t aRank,
           std::size_t aRouters,
           duration aSilence);

} // namespace persimmon::dispatch
