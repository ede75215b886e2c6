#include "base/stopsignal.h"
#include "standins/common/fleetflags.h"
#include "standins/common/standinevents.h"
#include "standins/common/standinmain.h"
#include "standins/service/servicehost.h"

using namespace persimmon;

namespace {

constexpr std::int64_t kMostMs = 600000;
constexpr std::int64_t kMostCalls = 100000;

struct program_options
{
  standins::fleet_settings fleet;
  standins::service_options service;
  std::string history;
};

void
Declare(settings& aSettings)
{
  aSettings.AddRequired("service", "name of the service; instances are named SERVICE-0, ...");
  standins::DeclareFleetFlags(aSettings);
  aSettings.Add("delay-ms", "5", "time that a call runs");
  aSettings.Add("max-running", "64", "calls that run at once at an instance");
}

program_options
Read(settings& aSettings)
{
  program_options options;
  options.fleet = standins::ReadFleetFlags(aSettings);
  options.fleet.service.value = aSettings.Text("service");
  options.fleet.prefix = options.fleet.service.value;
  options.service.service = options.fleet.service;
  options.service.delay.ms = aSettings.Number("delay-ms", 0, kMostMs);
  options.service.maxRunning =
    static_cast<std::size_t>(aSettings.Number("max-running", 1, kMostCalls));
  options.history = aSettings.Text("history");
  return options;
}

int
Run(const program_options& aOptions)
{
  const std::string process = "standin-service-" + aOptions.service.service.value;
  history::history_writer history(aOptions.history, process);
  standins::execution_counter executions;
  standins::fleet<standins::service_host> fleet(aOptions.fleet);
  const bool started =
    fleet.Start([&](const instance_id& aInstance, std::function<void(bool)> aOnAlive) {
      return std::make_unique<standins::service_host>(
        aOptions.service, aInstance, executions, history, std::move(aOnAlive));
    });
  if (!started || !history.IsReady()) {
    return exit_failure;
  }
  WaitForStopSignal();
  WriteLog(standins::kStandinStopped, {});
  return exit_success;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return standins::StandinMain(
    "standin-service", "stand-in for a plain service", aCount, aArguments, Declare, Read, Run);
}
