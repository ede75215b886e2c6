#include "check/checks.h"

#include <fmt/format.h>

namespace persimmon::check {
namespace {

void
CheckAttempt(const std::string& aAttempt, const attempt_events& aEvents, verdict& aVerdict)
{
  if (!aEvents.started.empty() && aEvents.attempted.empty()) {
    AddViolation(aVerdict,
                 fmt::format("attempt \"{}\" was run but no router recorded it", aAttempt),
                 { aEvents.started.front() });
  }
  if (aEvents.attempted.size() > 1) {
    AddViolation(
      aVerdict, fmt::format("two dispatches share attempt id {}", aAttempt), aEvents.attempted);
  }
}

void
CheckCall(const std::string& aCall, const call_events& aEvents, verdict& aVerdict)
{
  if (aEvents.invoked == nullptr) {
    AddViolation(aVerdict, fmt::format("call {} ended but never began", aCall), aEvents.ends);
  }
  if (aEvents.ends.size() > 1) {
    AddViolation(aVerdict, fmt::format("call {} ended twice", aCall), aEvents.ends);
  }
}

} // namespace

verdict
CheckCompleteHistory(const run_history& aHistory)
{
  verdict result{ promise::complete_history, 0, {} };
  for (const auto& [attempt, events] : aHistory.Attempts()) {
    ++result.checked;
    CheckAttempt(attempt, events, result);
  }
  for (const auto& [call, events] : aHistory.Calls()) {
    ++result.checked;
    CheckCall(call.second, events, result);
  }
  return result;
}

} // namespace persimmon::check
