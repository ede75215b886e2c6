#include "assembly/tests/mocks/controllerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::assembly;

namespace {

/// Callers come so long after the first instances have registered.
constexpr duration kTimeToTraffic = 10_s;
constexpr std::size_t kDomains = 60;
constexpr std::size_t kInstancesOfADomain = 10;
/// Reports a second with which asking each instance once takes longer than that.
constexpr double kFewReports = 40;

} // namespace

// The first groups of a fleet that has just started, by a leader that may ask few instances a
// second.
// clang-format off
TEST_GROUP(first_groups)
{
  controller_fixture fixture;

  void Start(double aProbesPerSecond)
  {
    assembly_options options;
    options.maxProbesInAllPerSecond = aProbesPerSecond;
    fixture.controller = group_controller(fixture.simulator.service, options);
    fixture.AddInstances(kDomains, kInstancesOfADomain);
    fixture.controller.StartLeading({ 1 }, fixture.now);
  }

  void CheckNoViolation()
  {
    STRCMP_EQUAL("", fixture.simulator.violations.empty() ? "" : fixture.simulator.violations.front().c_str());
  }
};
// clang-format on

// Guards against a large fleet of which half has no group when callers come, since each instance
// was asked before it got its first order. Later loads are slow and limited.
TEST(first_groups, FleetServesWhenCallersComeHoweverFewReportsAreAskedFor)
{
  Start(0);
  fixture.RunFor(kTimeToTraffic);
  const std::size_t all = fixture.simulator.CountOpenGroups();
  fixture = {};
  Start(kFewReports);
  fixture.RunFor(kTimeToTraffic);
  CHECK(fixture.simulator.CountOpenGroups() >= all * 95 / 100);
  CheckNoViolation();
}
