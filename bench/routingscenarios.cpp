#include "routingscenarios.h"

#include "routingmodel.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace persimmon::bench {
namespace {

/// Requests a second that the model's groups can answer when all prefixes miss, with the slots
/// full: 57 groups x 16 slots / 1.7 s.
constexpr double kCapacity = 536;

/// Groups that kCapacity is for.
constexpr double kSmallGroups = 57;

struct named_policy
{
  const char* name;
  model_policy policy;
};
constexpr std::array kPolicies{ named_policy{ "random", model_policy::random },
                                named_policy{ "round robin", model_policy::round_robin },
                                named_policy{ "least reported load",
                                              model_policy::least_reported_load },
                                named_policy{ "balanced", model_policy::balanced } };

struct named_scenario
{
  const char* name;
  bool stragglers = false;
  bool dead = false;
  bool lagging = false;
};
constexpr std::array kScenarios{ named_scenario{ "all healthy" },
                                 named_scenario{ "one straggler in ten", true },
                                 named_scenario{ "one dead group", false, true },
                                 named_scenario{ "reports 3 s late", false, false, true },
                                 named_scenario{ "all three", true, true, true } };

model_options
PolicyOptions(const named_scenario& aScenario, std::uint64_t aSeed)
{
  model_options options;
  options.seed = aSeed;
  options.customers = { { "all", 0.6 * kCapacity, 1 } };
  for (std::size_t group = 0; aScenario.stragglers && group < options.groups; group += 10) {
    options.faults.push_back({ group, model_fault::effect::slow, 5, {}, { INT64_MAX } });
  }
  // A group goes dark every ten seconds and comes back after eight.
  for (std::int64_t second = 10; aScenario.dead && second < 60; second += 10) {
    const time_point from{ second * 1000 };
    const auto group = static_cast<std::size_t>(second + 1);
    options.faults.push_back({ group, model_fault::effect::dark, 1, from, from + 8_s });
  }
  if (aScenario.lagging) {
    options.reportLag = 3_s;
  }
  return options;
}

void
PrintTail(const char* aName, const model_result& aResult)
{
  fmt::print("  {:<22} p50 {:6.0f} ms  p99 {:6.0f} ms  p99.9 {:6.0f} ms  not answered {:5.2f}%  "
             "attempts a request {:4.2f}\n",
             aName,
             aResult.Quantile(0.5),
             aResult.Quantile(0.99),
             aResult.Quantile(0.999),
             100 * (1 - aResult.Part(model_ending::answered)),
             static_cast<double>(aResult.attempts) / static_cast<double>(aResult.requests.size()));
}

void
RunPolicies(const named_scenario& aScenario, std::uint64_t aSeed)
{
  fmt::print("{}\n", aScenario.name);
  double least = 0;
  double balanced = 0;
  for (const named_policy& current : kPolicies) {
    model_options options = PolicyOptions(aScenario, aSeed);
    options.policy = current.policy;
    const model_result result = RunModel(options);
    PrintTail(current.name, result);
    if (current.policy == model_policy::least_reported_load) {
      least = result.Quantile(0.99);
    } else if (current.policy == model_policy::balanced) {
      balanced = result.Quantile(0.99);
    }
  }
  fmt::print("  balanced / least reported load at p99: {:.2f}\n", balanced / least);
}

/// A region at the size that is designed for: each router sees little of what the others send.
model_options
RegionOptions(model_policy aPolicy, std::uint64_t aSeed)
{
  model_options options;
  options.seed = aSeed;
  options.policy = aPolicy;
  options.groups = 625;
  options.routers = 109;
  options.end = time_point{ 15000 };
  const double groups = static_cast<double>(options.groups);
  options.customers = { { "all", 0.6 * kCapacity * groups / kSmallGroups, 1 } };
  return options;
}

struct named_admission
{
  const char* name;
  model_admission admission;
  bool sharesStop = false;
  std::size_t routers = 9;
};
constexpr std::array kAdmissions{
  named_admission{ "everybody at once", model_admission::open },
  named_admission{ "first come first served", model_admission::fifo },
  named_admission{ "fair shares", model_admission::fair },
  named_admission{ "fair shares, one router", model_admission::fair, false, 1 },
  named_admission{ "fair shares, mesh stops", model_admission::fair, true }
};

/// Places in the queues of all routers together.
constexpr std::size_t kQueuePlaces = 576;

model_options
OverloadOptions(const named_admission& aKind, std::uint64_t aSeed)
{
  model_options options;
  options.seed = aSeed;
  options.admission = aKind.admission;
  options.routers = aKind.routers;
  options.queuePerRouter = static_cast<std::int64_t>(kQueuePlaces / aKind.routers);
  options.deadline = 8_s;
  if (aKind.sharesStop) {
    options.sharesStop = time_point{ 20000 };
  }
  options.customers = { { "greedy", 1.55 * kCapacity, 1 } };
  for (int number = 1; number <= 9; ++number) {
    options.customers.push_back({ fmt::format("small-{}", number), 0.05 * kCapacity, 1 });
  }
  return options;
}

/// Worst value over the small customers.
template<typename Value>
double
WorstSmall(Value aValue)
{
  double worst = 0;
  for (std::size_t customer = 1; customer <= 9; ++customer) {
    worst = std::max(worst, aValue(customer));
  }
  return worst;
}

void
PrintOverload(const char* aName, const model_options& aOptions, const model_result& aResult)
{
  const double span = static_cast<double>((aOptions.end - aOptions.warmUp).ms) / 1000;
  const double answered = aResult.Part(model_ending::answered);
  fmt::print(
    "  {:<24} answered {:4.0f}/s  late {:5.1f}%  small: not answered {:5.1f}%  p99 {:5.0f} "
    "ms  greedy: answered {:4.1f}%  p99 of all answered {:5.0f} ms\n",
    aName,
    answered * static_cast<double>(aResult.requests.size()) / span,
    100 * aResult.Part(model_ending::expired),
    100 * WorstSmall([&](std::size_t aCustomer) {
      return 1 - aResult.Part(model_ending::answered, aCustomer);
    }),
    WorstSmall([&](std::size_t aCustomer) { return aResult.Quantile(0.99, aCustomer); }),
    100 * aResult.Part(model_ending::answered, 0),
    aResult.AnsweredQuantile(0.99));
}

struct named_retries
{
  const char* name;
  model_retries retries;
};
constexpr std::array kRetries{ named_retries{ "no retries", model_retries::never },
                               named_retries{ "up to 4 attempts", model_retries::always },
                               named_retries{ "budget of 10%", model_retries::budget } };

constexpr time_point kStormFrom{ 15000 };
constexpr time_point kStormTo{ 35000 };
constexpr time_point kStormEnd{ 65000 };

model_options
StormOptions(model_retries aRetries, double aPart, std::uint64_t aSeed)
{
  model_options options;
  options.seed = aSeed;
  options.retries = aRetries;
  options.deadline = 6_s;
  options.end = kStormEnd;
  options.customers = { { "all", 0.95 * kCapacity, 1 } };
  for (std::size_t group = 0; group < options.groups; ++group) {
    options.faults.push_back({ group, model_fault::effect::failing, aPart, kStormFrom, kStormTo });
  }
  return options;
}

void
PrintStorm(const char* aName, const model_result& aResult)
{
  const auto answered = [&](time_point aFrom, time_point aTo) {
    return 100 * aResult.Part(model_ending::answered, SIZE_MAX, aFrom, aTo);
  };
  fmt::print("  {:<18} attempts a request {:4.2f}  answered during {:5.1f}%  in the 10 s after "
             "{:5.1f}%  p99 in the 10 s after {:5.0f} ms\n",
             aName,
             static_cast<double>(aResult.attempts) / static_cast<double>(aResult.requests.size()),
             answered(kStormFrom, kStormTo),
             answered(kStormTo, kStormTo + 10_s),
             aResult.Quantile(0.99, SIZE_MAX, kStormTo, kStormTo + 10_s));
}

} // namespace

void
RunPolicyScenarios(std::uint64_t aSeed)
{
  fmt::print("tail latency, 57 groups, 9 routers, 60% load, seed {}\n", aSeed);
  for (const named_scenario& scenario : kScenarios) {
    RunPolicies(scenario, aSeed);
  }
}

void
RunRegionScenario(std::uint64_t aSeed)
{
  fmt::print("tail latency, 625 groups, 109 routers, 60% load, all healthy, seed {}\n", aSeed);
  for (const named_policy& current : kPolicies) {
    PrintTail(current.name, RunModel(RegionOptions(current.policy, aSeed)));
  }
}

void
RunOverloadScenario(std::uint64_t aSeed)
{
  fmt::print("2x overload, one greedy customer and nine small ones of the same weight, seed {}\n",
             aSeed);
  for (const named_admission& kind : kAdmissions) {
    const model_options options = OverloadOptions(kind, aSeed);
    PrintOverload(kind.name, options, RunModel(options));
  }
}

void
RunRetryStormScenario(std::uint64_t aSeed)
{
  for (const double part : { 0.5, 0.9 }) {
    fmt::print(
      "retry storm: {:.0f}% of attempts fail after running for 20 s at 95% load, seed {}\n",
      100 * part,
      aSeed);
    for (const named_retries& kind : kRetries) {
      PrintStorm(kind.name, RunModel(StormOptions(kind.retries, part, aSeed)));
    }
  }
}

} // namespace persimmon::bench
