#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmon::bench {

/// Policy that chooses upstreams in a model run.
enum class model_policy
{
  balanced,
  random,
  round_robin,
  least_reported_load
};

/// What follows a failed attempt in a model run.
enum class model_retries
{
  /// DecideRetry() with a budget.
  budget,
  /// Up to kMaxModelAttempts attempts, whatever the load.
  always,
  never
};

/// Who may start in a model run.
enum class model_admission
{
  /// routing::admission.
  fair,
  /// A bounded queue at each router, first come first served.
  fifo,
  /// Everybody at once.
  open
};

constexpr std::uint32_t kMaxModelAttempts = 4;

/// A fault of one group during a span of simulated time.
struct model_fault
{
  enum class effect
  {
    /// Takes `amount` times as long.
    slow,
    /// Gives no answer at all.
    dark,
    /// Fails the part `amount` of its attempts after having run them.
    failing
  };

  std::size_t group = 0;
  effect what = effect::slow;
  double amount = 1;
  time_point from;
  time_point to{ INT64_MAX };
};

struct model_customer
{
  std::string name;
  double requestsPerSecond = 0;
  std::int64_t weight = 1;
};

/// A model of routers and groups. Groups batch up to a number of requests, slow down a little as
/// they fill, keep the last prompt prefixes and report their load with a lag.
struct model_options
{
  std::uint64_t seed = 1;
  std::size_t groups = 57;
  std::size_t zones = 3;
  std::size_t routers = 9;
  std::size_t slotsPerGroup = 16;
  duration prefill = 200_ms;
  duration cachedPrefill = 20_ms;
  duration perToken = 15_ms;
  std::uint32_t minTokens = 50;
  std::uint32_t maxTokens = 150;
  std::size_t prefixes = 300;
  std::size_t prefixesKept = 32;
  duration reportEvery = 500_ms;
  duration reportLag = 500_ms;
  /// How long a router waits for an upstream that is dark.
  duration silenceTimeout = 2_s;
  /// Time after which a caller leaves.
  duration deadline = 20_s;
  time_point warmUp{ 5000 };
  time_point end{ 65000 };
  /// When routers stop to hear of each other's shares.
  time_point sharesStop{ INT64_MAX };
  std::int64_t retryPercent = 10;
  std::int64_t queuePerRouter = 256;
  model_policy policy = model_policy::balanced;
  model_retries retries = model_retries::budget;
  model_admission admission = model_admission::open;
  std::vector<model_customer> customers;
  std::vector<model_fault> faults;
};

} // namespace persimmon::bench
