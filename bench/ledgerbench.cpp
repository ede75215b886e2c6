#include "bench/ledgersimulation.h"
#include "settings/settings.h"

#include <cstdio>

using namespace persimmon;
using namespace persimmon::bench;

namespace {

constexpr double kTargetWrites = 100;
constexpr double kTargetRoundTrips = 2;
constexpr double kKilo = 1024;

struct variant
{
  commit_path path;
  std::uint32_t shards;
  /// False writes every intent at once.
  bool grouped = true;
};

constexpr std::array kVariants = {
  variant{ commit_path::direct, 1, false }, variant{ commit_path::direct, 8, false },
  variant{ commit_path::direct, 8 },        variant{ commit_path::forwarded, 1, false },
  variant{ commit_path::forwarded, 1 },
};

void
PrintHead()
{
  fmt::print(
    "simulated time; call = non-idempotent call, added latency until its intent is committed\n");
  fmt::print(
    "{:9} {:>7} {:>6} {:>7} {:>6} {:>8} {:>9} {:>7} {:>7} {:>6} {:>7} {:>7} {:>7} {:>7}  {}\n",
    "path",
    "routers",
    "shards",
    "grouped",
    "rtt ms",
    "writes/s",
    "conflicts",
    "reads/s",
    "KB/s",
    "max KB",
    "p50 ms",
    "p99 ms",
    "p50 rtt",
    "p99 rtt",
    "targets");
}

const char*
Met(const ledger_scenario& aScenario, const ledger_figures& aFigures)
{
  const bool writes = static_cast<double>(aFigures.writes) / aScenario.seconds <= kTargetWrites;
  const bool latency = aFigures.p50Ms / aScenario.storeRoundTripMs <= kTargetRoundTrips;
  if (writes && latency) {
    return "both met";
  }
  if (!writes && !latency) {
    return "both missed";
  }
  return writes ? "latency missed" : "writes missed";
}

void
Print(const ledger_scenario& aScenario, const variant& aVariant, const ledger_figures& aFigures)
{
  const auto rate = [&](std::uint64_t aCount) {
    return static_cast<double>(aCount) / aScenario.seconds;
  };
  fmt::print("{:9} {:7} {:6} {:>7} {:6.1f} {:8.1f} {:9.1f} {:7.1f} {:7.0f} {:6.1f} {:7.2f} {:7.2f} "
             "{:7.2f} {:7.2f}  {}\n",
             aScenario.path == commit_path::direct ? "direct" : "forwarded",
             aScenario.routers,
             aScenario.shards,
             aVariant.grouped ? "yes" : "no",
             aScenario.storeRoundTripMs,
             rate(aFigures.writes),
             rate(aFigures.conflicts),
             rate(aFigures.reads),
             rate(aFigures.bytes) / kKilo,
             static_cast<double>(aFigures.largest) / kKilo,
             aFigures.p50Ms,
             aFigures.p99Ms,
             aFigures.p50Ms / aScenario.storeRoundTripMs,
             aFigures.p99Ms / aScenario.storeRoundTripMs,
             Met(aScenario, aFigures));
  std::fflush(stdout);
}

ledger_scenario
Vary(ledger_scenario aBase, const variant& aVariant)
{
  aBase.path = aVariant.path;
  aBase.shards = aVariant.shards;
  aBase.rules = aVariant.grouped ? ledger::kGroupCommitPolicy : ledger::commit_policy{};
  return aBase;
}

} // namespace

int
main(int argc, char** argv)
{
  settings options(
    "bench-ledger", "Cost of committing intents, in simulated time.", PERSIMMON_VERSION);
  options.Add("seconds", "5", "Simulated seconds of each run.");
  options.Add("calls", "200", "Non-idempotent calls per second over all routers.");
  options.Add("mesh-ms", "0.5", "One-way latency between two routers in milliseconds.");
  options.Add("seed", "4", "Seed of arrivals and keys.");
  if (const auto code = options.Parse(argc, argv)) {
    return *code;
  }
  ledger_scenario base;
  base.seconds = options.Double("seconds", 1, 1000);
  base.callsPerSecond = options.Double("calls", 1, 100000);
  base.meshOneWayMs = options.Double("mesh-ms", 0, 1000);
  base.seed = static_cast<std::uint64_t>(options.Number("seed", 0, INT64_MAX));
  if (const auto code = options.Finish()) {
    return *code;
  }
  PrintHead();
  for (const std::uint32_t routers : { 9U, 109U }) {
    for (const double roundTrip : { 2.0, 5.0 }) {
      base.routers = routers;
      base.storeRoundTripMs = roundTrip;
      for (const variant& each : kVariants) {
        const ledger_scenario scenario = Vary(base, each);
        Print(scenario, each, ledger_simulation(scenario).Run());
      }
    }
  }
  return exit_success;
}
