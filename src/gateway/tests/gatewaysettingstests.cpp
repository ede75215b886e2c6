#include "gateway/gatewaysettings.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(gateway_settings)
{
  gateway_settings running;
  gateway_settings reloaded;
};
// clang-format on

TEST(gateway_settings, IdenticalSettingsProduceAnEmptyDiff)
{
  const settings_diff diff = CompareSettings(running, reloaded);
  CHECK(diff.applied.empty());
  CHECK(diff.restartRequired.empty());
}

TEST(gateway_settings, PeersAndRetryLimitsAreAppliedWithoutARestart)
{
  reloaded.peers = { { "10.0.0.1:1" } };
  reloaded.retryLimits.slack = 7;
  const settings_diff diff = CompareSettings(running, reloaded);
  CHECK(diff.applied == (std::vector<std::string>{ "peers", "repeat-slack" }));
  CHECK(diff.restartRequired.empty());
}

TEST(gateway_settings, ListenAddressRequiresARestart)
{
  reloaded.listen = { "10.0.0.1:80" };
  const settings_diff diff = CompareSettings(running, reloaded);
  CHECK(diff.applied.empty());
  CHECK(diff.restartRequired == std::vector<std::string>{ "listen" });
}
