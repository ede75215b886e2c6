#pragma once

#include "base/random.h"
#include "routing/prefixpopularity.h"
#include "routing/upstreampool.h"

#include <concepts>
#include <optional>

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
/// upstreams that failed or are on probation, but for a trickle of tests. A popular prefix has as
/// many owners as its part of the requests needs, so that it does not depend on load reports.
class balanced_choice
{
public:
  upstream_choice Choose(const upstream_pool& aPool,
                         const choice_request& aRequest,
                         time_point aNow,
                         random_source& aRandom);

private:
  std::uint64_t mDecisions = 0;
  prefix_popularity mPopularity;
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

/// Baseline: the eligible upstreams in turn, beginning at any of them.
class round_robin_choice
{
public:
  upstream_choice Choose(const upstream_pool& aPool,
                         const choice_request& aRequest,
                         time_point aNow,
                         random_source& aRandom);

private:
  std::optional<std::size_t> mNext;
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
