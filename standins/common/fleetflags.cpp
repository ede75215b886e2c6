#include "standins/common/fleetflags.h"

namespace persimmon::standins {
namespace {

constexpr std::int64_t kMostInstances = 4096;
constexpr std::int64_t kMostPort = 65535;
constexpr std::int64_t kMostThreads = 64;

} // namespace

void
DeclareFleetFlags(settings& aSettings)
{
  aSettings.AddRequired("zone", "availability zone");
  aSettings.Add("instances", "1", "number of instances");
  aSettings.Add("ip", "127.0.0.1", "address of all instances");
  aSettings.Add("base-port", "0", "port of the first instance, the others follow; 0 for free ones");
  aSettings.AddRequired("platform-url", "platform as http://ip:port");
  aSettings.AddRequired("control-listen", "address ip:port of /control");
  aSettings.Add("threads", "2", "threads that serve calls");
  aSettings.Add("history", "", "file to append the history to");
}

fleet_settings
ReadFleetFlags(settings& aSettings)
{
  fleet_settings fleet;
  fleet.zone.value = aSettings.Text("zone");
  fleet.instances = static_cast<std::size_t>(aSettings.Number("instances", 1, kMostInstances));
  fleet.ip = aSettings.Text("ip");
  fleet.basePort = static_cast<std::uint16_t>(aSettings.Number("base-port", 0, kMostPort));
  fleet.platformUrl = aSettings.Text("platform-url");
  fleet.control.value = aSettings.Text("control-listen");
  fleet.threads = static_cast<std::size_t>(aSettings.Number("threads", 1, kMostThreads));
  return fleet;
}

} // namespace persimmon::standins
