#include "base/stopsignal.h"
#include "standins/common/fleetflags.h"
#include "standins/common/standinevents.h"
#include "standins/common/standinmain.h"
#include "standins/engine/enginefleet.h"

using namespace persimmon;

namespace {

constexpr std::int64_t kMostMs = 600000;
constexpr std::int64_t kMostRequests = 100000;

struct program_options
{
  standins::fleet_settings fleet;
  standins::engine_options engine;
  std::uint64_t weightBytes = 0;
  std::string history;
};

void
Declare(settings& aSettings)
{
  aSettings.AddRequired("domain", "fabric domain; instances are named DOMAIN-0, DOMAIN-1, ...");
  standins::DeclareFleetFlags(aSettings);
  aSettings.Add("fencing", "true", "refuse orders with an old fencing token");
  aSettings.Add("load-ms", "500", "time to load weights");
  aSettings.Add("weight-bytes", "0", "weights an instance fetches from the platform for a load");
  aSettings.Add("token-ms", "20", "time between two tokens of a request");
  aSettings.Add("block-ms", "2", "time to compute 256 bytes of prompt that are not cached");
  aSettings.Add("cache-blocks", "4096", "blocks of 256 bytes in the prefix cache");
  aSettings.Add("max-running", "8", "requests that run at once in a group");
  aSettings.Add("max-queued", "64", "requests that wait in a group");
  aSettings.Add("report-ms", "200", "time between two load reports");
}

standins::engine_options
ReadEngine(settings& aSettings)
{
  standins::engine_options engine;
  engine.fencing = aSettings.Flag("fencing");
  engine.loadTime.ms = aSettings.Number("load-ms", 0, kMostMs);
  engine.tokenInterval.ms = aSettings.Number("token-ms", 0, kMostMs);
  engine.blockTime.ms = aSettings.Number("block-ms", 0, kMostMs);
  engine.cacheBlocks = static_cast<std::size_t>(aSettings.Number("cache-blocks", 1, INT32_MAX));
  engine.maxRunning = static_cast<std::size_t>(aSettings.Number("max-running", 1, kMostRequests));
  engine.maxQueued = static_cast<std::size_t>(aSettings.Number("max-queued", 1, kMostRequests));
  engine.reportInterval.ms = aSettings.Number("report-ms", 0, kMostMs);
  return engine;
}

program_options
Read(settings& aSettings)
{
  program_options options;
  options.fleet = standins::ReadFleetFlags(aSettings);
  options.engine = ReadEngine(aSettings);
  options.fleet.domain.value = aSettings.Text("domain");
  options.fleet.prefix = options.fleet.domain.value;
  options.fleet.fencing = options.engine.fencing;
  options.weightBytes = static_cast<std::uint64_t>(aSettings.Number("weight-bytes", 0, INT64_MAX));
  options.history = aSettings.Text("history");
  return options;
}

int
Run(const program_options& aOptions)
{
  const std::string process = "standin-engine-" + aOptions.fleet.domain.value;
  history::history_writer history(aOptions.history, process);
  standins::engine_fleet fleet(aOptions.fleet, aOptions.engine, aOptions.weightBytes, history);
  if (!history.IsReady() || !fleet.Start()) {
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
    "standin-engine", "stand-in for model engines", aCount, aArguments, Declare, Read, Run);
}
