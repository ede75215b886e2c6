#pragma once

#include "base/random.h"
#include "routing/upstreampool.h"

#include <concepts>

namespace persimmon::routing {

/// A way to choose one of a pool's upstreams.
template<typename T>
concept choice_policy = requires(T& aPolicy,
                                 const upstream_pool& aPool,
                                 const choice_request& aRequest,
                                 time_point aNow,
                                 random_source& aRandom)
{
  {
    aPolicy.Choose(aPool, aRequest, aNow, aRandom)
    } -> std::same_as<upstream_choice>;
};

/// Prefix affinity with bounded load, else the less loaded of two, own zone first; leaves out
/// upstreams that failed or are on probation, but for a trickle of tests.
class balanced_choice
{
public:
  upstream_choice Choose(const upstream_pool& aPool,
                         const choice_request& aRequest,
                         time_point aNow,
                         random_source& aRandom);

private:
  std::uint64_t mDecisions = 0;
};

/// Baseline: any eligible upstream with the same probability.
class random_choice
{
public:
  upstream_choice Choose(const upstream_pool& aPool,
                         const choice_request& aRequest,
                         time_point aNow,
                         random_source& aRandom);
};

/// Baseline: the eligible upstreams in turn.
class round_robin_choice
{
public:
  upstream_choice Choose(const upstream_pool& aPool,
                         const choice_request& aRequest,
                         time_point aNow,
                         random_source& aRandom);

private:
  std::size_t mNext = 0;
};

/// Baseline: the eligible upstream with the least load as reported, lag and all.
class least_reported_load_choice
{
public:
  upstream_choice Choose(const upstream_pool& aPool,
                         const choice_request& aRequest,
                         time_point aNow,
                         random_source& aRandom);
};

} // namespace persimmon::routing
