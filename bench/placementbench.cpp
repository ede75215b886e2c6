#include "benchparts.h"
#include "placementscenarios.h"
#include "settings/settings.h"

#include <string>
#include <vector>

using namespace persimmon;

int
main(int aCount, char** aArguments)
{
  settings values("bench-placement",
                  "Measures placement in simulated time, and the cost of planning.",
                  PERSIMMON_VERSION);
  values.Add("seed", "1", "Seed of the simulated runs.");
  values.AcceptOperands("Parts to run: script, calls, cost; all when none is named.");
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  const auto seed = static_cast<std::uint64_t>(values.Number("seed", 0, INT64_MAX));
  const std::vector<std::string> parts = values.Operands();
  if (const auto code = values.Finish()) {
    return *code;
  }
  if (bench::Wants(parts, "script")) {
    bench::RunPlacementScript(seed);
  }
  if (bench::Wants(parts, "calls")) {
    bench::RunStoreCalls(seed);
  }
  if (bench::Wants(parts, "cost")) {
    bench::RunPlanningCost(seed);
  }
  return exit_success;
}
