#include "placementscenarios.h"

#include "allocationcount.h"
#include "placement/tests/mocks/placementharness.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace persimmon::bench {
namespace {

using namespace persimmon::placement;

constexpr int kInstancesPerDomain = 40;
constexpr int kRepeats = 20;

struct pass_cost
{
  double milliseconds = 0;
  std::uint64_t allocations = 0;
};

/// Returns the median time and the allocations of a call.
template<typename Function>
pass_cost
Measure(Function aFunction)
{
  std::vector<double> times;
  pass_cost cost;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const std::uint64_t allocations = CountAllocations();
    const auto before = std::chrono::steady_clock::now();
    aFunction();
    const std::chrono::duration<double, std::milli> passed =
      std::chrono::steady_clock::now() - before;
    cost.allocations = CountAllocations() - allocations;
    times.push_back(passed.count());
  }
  std::sort(times.begin(), times.end());
  cost.milliseconds = times[times.size() / 2];
  return cost;
}

service_document
Service(int aNumber, std::int64_t aReplicas)
{
  service_document document;
  document.service.value = "service-" + std::to_string(aNumber);
  document.model = { document.service.value, "", "v1" };
  document.capacity = { aReplicas, aReplicas / 2, 16 };
  return document;
}

void
MeasureSize(int aInstances, std::uint64_t aSeed)
{
  placement_harness harness(aSeed);
  harness.weights.loadTime = {};
  for (int done = 0, domain = 0; done < aInstances; done += kInstancesPerDomain, ++domain) {
    harness.AddInstances("fabric-" + std::to_string(domain),
                         "zone-" + std::to_string(domain % 3),
                         std::min(kInstancesPerDomain, aInstances - done));
  }
  placer_options options;
  options.self.value = "p1";
  options.loadSlots = 100'000;
  auto& placer = harness.AddPlacer(options);
  const std::int64_t groups = std::int64_t{ 2 } * (aInstances / kInstancesPerDomain);
  for (int number = 0; number < 4; ++number) {
    harness.PutDocument(Service(number, std::max<std::int64_t>(1, groups / 4)));
  }
  harness.RunFor(20_s);
  std::size_t serving = 0;
  table_map tables;
  std::vector<platform::listed_instance> instances;
  for (const domain_table& table : harness.Tables()) {
    tables[table.domain] = table;
    serving += static_cast<std::size_t>(
      std::count_if(table.groups.begin(), table.groups.end(), [](const group& aGroup) {
        return aGroup.state == group_state::serving;
      }));
  }
  for (const auto& [id, engine] : harness.engines) {
    instances.push_back(engine.listed);
  }
  service_catalogue documents;
  for (int number = 0; number < 4; ++number) {
    const service_document document = Service(number, std::max<std::int64_t>(1, groups / 4));
    documents[document.service] = { { 1 }, document };
  }
  const placement_plan previous = *placer.core->Plan();
  const planner_input input{ documents, tables, instances, &previous };
  const pass_cost plan = Measure([&] { ComputePlan(input, { { "p1" }, {}, 16, {} }); });
  const pass_cost owners = Measure([&] { placer.core->Handle(time_passed{}, harness.Now()); });
  const pass_cost read = Measure([&] {
    placer.core->Handle(member_read{ instances.front().id, std::nullopt, false }, harness.Now());
  });
  std::printf("%9d %8zu %8zu %10.3f %8llu %10.3f %8llu %10.4f %8llu\n",
              aInstances,
              tables.size(),
              serving,
              plan.milliseconds,
              static_cast<unsigned long long>(plan.allocations),
              owners.milliseconds,
              static_cast<unsigned long long>(owners.allocations),
              read.milliseconds,
              static_cast<unsigned long long>(read.allocations));
}

} // namespace

void
RunPlanningCost(std::uint64_t aSeed)
{
  std::printf("planning in steady state, one placer that owns every domain, seed %llu\n",
              static_cast<unsigned long long>(aSeed));
  std::printf("%9s %8s %8s %10s %8s %10s %8s %10s %8s\n",
              "instances",
              "domains",
              "serving",
              "plan ms",
              "allocs",
              "owners ms",
              "allocs",
              "read ms",
              "allocs");
  for (const int instances : { 60, 910, 10'000 }) {
    MeasureSize(instances, aSeed);
  }
}

} // namespace persimmon::bench
