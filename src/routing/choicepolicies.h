#pragma once

#include "base/random.h"
#include "routing/prefixpopularity.h"
#include "routing/upstreampool.h"

#include <concepts>
#include <optional>

namespace persimmon::routing {

/// A load-balancing policy, which chooses one of a pool's upstreams.
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

/// Prefix affinity by rendezvous hashing with bounded load. Requests without a usable owner go to
/// the less loaded of two random upstreams, those in the router's own zone first. Upstreams that
/// are ejected or on probation are left out, except for occasional tests of those on probation. The
/// number of owners of a popular prefix grows with its part of the requests, so that spreading it
/// does not depend on load reports.
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

/// Baseline: a uniformly random eligible upstream.
class random_choice
{
public:
  upstream_choice Choose(const upstream_pool& aPool,
                         const choice_request& aRequest,
                         time_point aNow,
                         random_source& aRandom);
};

/// Baseline: the eligible upstreams in turn, from a random first one.
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

/// Baseline: the eligible upstream with the least reported load, without any correction for the age
/// of reports.
class least_reported_load_choice
{
public:
  upstream_choice Choose(const upstream_pool& aPool,
                         const choice_request& aRequest,
                         time_point aNow,
                         random_source& aRandom);
};

} // namespace persimmon::routing
