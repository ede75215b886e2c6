#pragma once

#include "routing/choicepolicies.h"

#include <utility>

namespace persimmon::routing {

/// Chooses upstreams for one service at one router by applying a policy to a pool. Does no I/O; the
/// caller holds the service's lock.
template<choice_policy Policy>
class basic_upstream_chooser
{
public:
  basic_upstream_chooser(zone_name aOwnZone, std::uint64_t aSeed)
    : mPool(std::move(aOwnZone))
    , mRandom(aSeed)
  {
  }

  /// Chooses an upstream. The pool does not count the request until upstream_pool::Start().
  upstream_choice Choose(const choice_request& aRequest, time_point aNow)
  {
    return mPolicy.Choose(mPool, aRequest, aNow, mRandom);
  }
  /// Returns the pool, which holds the upstreams with their loads, dispatches and health.
  upstream_pool& Pool() { return mPool; }
  [[nodiscard]] const upstream_pool& Pool() const { return mPool; }

private:
  upstream_pool mPool;
  Policy mPolicy;
  random_source mRandom;
};

using upstream_chooser = basic_upstream_chooser<balanced_choice>;

} // namespace persimmon::routing
