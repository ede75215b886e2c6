#pragma once

#include "base/log.h"
#include "base/stopsignal.h"
#include "settings/settings.h"

namespace persimmon::standins {

/// Main function of a stand-in: declares and reads its settings, starts the log and runs it.
/// aDeclare takes the settings, aRead returns the program's options from them, and aRun runs until
/// a signal to stop comes and returns the exit code.
template<typename Declare, typename Read, typename Run>
int
StandinMain(const char* aProgram,
            const char* aSummary,
            int aCount,
            char** aArguments,
            const Declare& aDeclare,
            const Read& aRead,
            const Run& aRun)
{
  settings values(aProgram, aSummary, PERSIMMON_VERSION);
  aDeclare(values);
  if (const auto code = values.Parse(aCount, aArguments)) {
    return *code;
  }
  const auto options = aRead(values);
  if (const auto code = values.Finish()) {
    return *code;
  }
  StartLog(aProgram, log_level::info);
  BlockStopSignals();
  return aRun(options);
}

} // namespace persimmon::standins
