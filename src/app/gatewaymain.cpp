#include "base/stopsignal.h"
#include "gateway/gatewayevents.h"
#include "gateway/gatewayprocess.h"
#include "gateway/gatewaysettings.h"
#include "platform/platformdialect.h"
#include "settings/settings.h"
#include "settings/settingsfilewatch.h"

#include <csignal>
#include <malloc.h>
#include <mutex>
#include <optional>

namespace {

using namespace persimmon;

/// Size in bytes from which memory is returned to the system as soon as it is freed, so that large
/// bodies do not stay resident after their calls.
constexpr int kReturnedBlockBytes = 128 << 10;

/// Log lines that may wait for a slow reader: some seconds of a busy gateway.
constexpr std::size_t kWaitingLogLines = 2000;

/// Time between two looks at the settings file, which may change without a signal.
constexpr duration kSettingsFileInterval = 1_s;

constexpr const char* kSummary =
  "Routes callers' calls to upstreams and forms the groups of model engines.";

/// Reads the settings; problems are printed. Returns nothing and the exit code when the program
/// should end.
std::optional<gateway::gateway_settings>
ReadSettings(int aCount, char** aArguments, int& aCode)
{
  settings values("persimmon-gateway", kSummary, PERSIMMON_VERSION);
  gateway::DeclareGatewaySettings(values);
  if (const auto code = values.Parse(aCount, aArguments)) {
    aCode = *code;
    return std::nullopt;
  }
  gateway::gateway_settings parsed = gateway::ReadGatewaySettings(values);
  if (const auto code = values.Finish()) {
    aCode = *code;
    return std::nullopt;
  }
  return parsed;
}

int
Serve(const gateway::gateway_settings& aSettings, int aCount, char** aArguments)
{
  gateway::gateway_process<dialect::platform_dialect> process(aSettings);
  if (!process.Start()) {
    WriteLog(gateway::kGatewayNotStarted, { { "reason", process.LastReason() } });
    return exit_failure;
  }
  std::mutex reloading;
  const auto reload = [&] {
    const std::lock_guard lock(reloading);
    int code = exit_success;
    if (const auto again = ReadSettings(aCount, aArguments, code)) {
      process.Reload(*again);
    } else {
      WriteLog(gateway::kReloadRejected, { { "path", aSettings.settingsFile } });
    }
  };
  {
    const settings_file_watch watch(aSettings.settingsFile, kSettingsFileInterval, reload);
    while (WaitForStopOrReloadSignal() == SIGHUP) {
      reload();
    }
  }
  process.Stop();
  return exit_success;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
  int code = exit_success;
  const auto parsed = ReadSettings(aCount, aArguments, code);
  if (!parsed) {
    return code;
  }
  StartLog(parsed->id.value, parsed->lowestLevel);
  std::signal(SIGPIPE, SIG_IGN);
  BlockStopSignals();
  StartLogThread(kWaitingLogLines);
  code = Serve(*parsed, aCount, aArguments);
  StopLogThread();
  return code;
}
