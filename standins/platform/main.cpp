#include "base/stopsignal.h"
#include "entry/httpserver.h"
#include "settings/settings.h"
#include "standins/common/standinevents.h"
#include "standins/common/standinmain.h"
#include "standins/platform/platformserver.h"

using namespace persimmon;

namespace {

constexpr std::int64_t kMostLagMs = 600000;
constexpr std::int64_t kMostThreads = 64;
constexpr std::int64_t kMostChanges = 10000000;

struct program_options
{
  standins::platform_options platform;
  endpoint listen;
  std::string history;
  std::size_t threads = 0;
};

void
Declare(settings& aSettings)
{
  aSettings.AddRequired("listen", "address ip:port of the API and of /control");
  aSettings.Add("list-lag-ms", "1000", "lag of the list of instances");
  aSettings.Add("history-length", "10000", "changes kept for watches");
  aSettings.Add("weight-rate", "0", "bytes a second of the weight store, 0 for no limit");
  aSettings.Add("seed", "1", "seed of the lost replies");
  aSettings.Add("threads", "2", "threads that serve calls");
  aSettings.Add("history", "", "file to append the history to");
}

program_options
Read(settings& aSettings)
{
  program_options options;
  options.listen.value = aSettings.Text("listen");
  options.platform.listLag.ms = aSettings.Number("list-lag-ms", 0, kMostLagMs);
  options.platform.historyLength =
    static_cast<std::size_t>(aSettings.Number("history-length", 1, kMostChanges));
  options.platform.weightBytesPerSecond =
    static_cast<std::uint64_t>(aSettings.Number("weight-rate", 0, INT64_MAX));
  options.platform.seed = static_cast<std::uint64_t>(aSettings.Number("seed", 0, INT64_MAX));
  options.threads = static_cast<std::size_t>(aSettings.Number("threads", 1, kMostThreads));
  options.history = aSettings.Text("history");
  return options;
}

int
Run(const program_options& aOptions)
{
  history::history_writer history(aOptions.history, "standin-platform");
  // Outlives the platform, which holds answers that are still to be given.
  entry::http_server server({ .threads = aOptions.threads });
  standins::platform_server platform(aOptions.platform, history);
  const auto address = server.Listen(
    aOptions.listen, [&platform](const entry::server_request& aRequest, const auto& aResponder) {
      platform.Handle(aRequest, aResponder);
    });
  if (!address || !history.IsReady()) {
    WriteLog(standins::kListenFailed,
             { { "address", aOptions.listen.value }, { "reason", server.LastReason() } });
    return exit_failure;
  }
  WriteLog(standins::kStandinStarted, { { "address", address->value } });
  WaitForStopSignal();
  server.Stop();
  WriteLog(standins::kStandinStopped, {});
  return exit_success;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return standins::StandinMain("standin-platform",
                               "stand-in for the platform's service",
                               aCount,
                               aArguments,
                               Declare,
                               Read,
                               Run);
}
