#include "benchparts.h"
#include "routingcost.h"
#include "routingscenarios.h"
#include "settings/settings.h"

#include <string>
#include <vector>

using namespace persimmon;

int
main(int aCount, char** aArguments)
{
  settings values("bench-routing",
                  "Measures routing decisions, and compares policies in simulated time.",
                  PERSIMMON_VERSION);
  values.Add("seed", "1", "Seed of the simulated runs.");
  values.AcceptOperands(
    "Parts to run: cost, tail, region, overload, storm; all when none is named.");
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  const auto seed = static_cast<std::uint64_t>(values.Number("seed", 0, INT64_MAX));
  const std::vector<std::string> parts = values.Operands();
  if (const auto code = values.Finish()) {
    return *code;
  }
  if (bench::Wants(parts, "cost")) {
    bench::RunDecisionCost(seed);
  }
  if (bench::Wants(parts, "tail")) {
    bench::RunPolicyScenarios(seed);
  }
  if (bench::Wants(parts, "region")) {
    bench::RunRegionScenario(seed);
  }
  if (bench::Wants(parts, "overload")) {
    bench::RunOverloadScenario(seed);
  }
  if (bench::Wants(parts, "storm")) {
    bench::RunRetryStormScenario(seed);
  }
  return exit_success;
}
