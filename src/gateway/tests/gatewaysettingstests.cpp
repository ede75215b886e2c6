#include "gateway/gatewaysettings.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(gateway_settings)
{
  gateway_settings running;
  gateway_settings read;
};
// clang-format on

TEST(gateway_settings, SameSettingsChangeNothing)
{
  const settings_change change = CompareSettings(running, read);
  CHECK(change.taken.empty());
  CHECK(change.needRestart.empty());
}

TEST(gateway_settings, PeersAndBoundsOfRepeatsAreTakenAtOnce)
{
  read.peers = { { "10.0.0.1:1" } };
  read.repeatLimits.slack = 7;
  const settings_change change = CompareSettings(running, read);
  CHECK(change.taken == (std::vector<std::string>{ "peers", "repeat-slack" }));
  CHECK(change.needRestart.empty());
}

TEST(gateway_settings, AddressesHoldFromTheNextStart)
{
  read.listen = { "10.0.0.1:80" };
  const settings_change change = CompareSettings(running, read);
  CHECK(change.taken.empty());
  CHECK(change.needRestart == std::vector<std::string>{ "listen" });
}
