#include "check/checks.h"

#include <fmt/format.h>

namespace persimmon::check {
namespace {

const recorded_event*
FirstExecution(const run_history& aHistory,
               const std::vector<std::string>& aAttempts,
               time_point aBefore)
{
  for (const std::string& attempt : aAttempts) {
    for (const recorded_event* started : aHistory.Attempts().at(attempt).started) {
      if (started->event.at < aBefore) {
        return started;
      }
    }
  }
  return nullptr;
}

constexpr time_point kEver{ INT64_MAX };

/// Returns an execution that the refusal denies.
const recorded_event*
DeniedExecution(const run_history& aHistory, const call_events& aCall, const history::event& aEnd)
{
  if (!aEnd.request.empty()) {
    const auto& own = aHistory.AttemptsOfRequest(aEnd.request);
    if (const recorded_event* execution = FirstExecution(aHistory, own, kEver)) {
      return execution;
    }
  }
  // Another call under the key counts when it ran before this one was made; a later one may run.
  if (aEnd.ran != "no" || aEnd.key.empty() || aCall.invoked == nullptr) {
    return nullptr;
  }
  const auto& keyed = aHistory.AttemptsOfKey(aEnd.key);
  return FirstExecution(aHistory, keyed, aCall.invoked->event.at);
}

} // namespace

verdict
CheckTruthfulRefusals(const run_history& aHistory)
{
  verdict result{ promise::truthful_refusals, 0, {} };
  for (const auto& [call, events] : aHistory.Calls()) {
    for (const recorded_event* end : events.ends) {
      const bool claims = end->event.ran == "no" || end->event.attemptRan == "no";
      if (end->event.kind != history::event_kind::refused || !claims) {
        continue;
      }
      ++result.checked;
      const recorded_event* execution = DeniedExecution(aHistory, events, end->event);
      if (execution != nullptr) {
        AddViolation(result,
                     fmt::format("call {} was told that it was not run, but it was", call.second),
                     { events.invoked, aHistory.Dispatch(*execution), execution, end });
      }
    }
  }
  return result;
}

} // namespace persimmon::check
