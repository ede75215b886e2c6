#include "check/checks.h"

#include <fmt/format.h>
#include <set>

namespace persimmon::check {
namespace {

std::set<std::string>
KeysOfOnceCalls(const run_history& aHistory)
{
  std::set<std::string> keys;
  for (const recorded_event& recorded : aHistory.Events()) {
    if (recorded.event.once && !recorded.event.key.empty()) {
      keys.insert(recorded.event.key);
    }
  }
  return keys;
}

} // namespace

verdict
CheckAtMostOnce(const run_history& aHistory)
{
  verdict result{ promise::at_most_once, 0, {} };
  for (const std::string& key : KeysOfOnceCalls(aHistory)) {
    std::vector<const recorded_event*> executions;
    for (const std::string& attempt : aHistory.AttemptsOfKey(key)) {
      const auto& started = aHistory.Attempts().at(attempt).started;
      executions.insert(executions.end(), started.begin(), started.end());
    }
    result.checked += executions.empty() ? 0 : 1;
    if (executions.size() > 1) {
      const std::string what = fmt::format("key {} was run {} times", key, executions.size());
      AddViolation(result, what, std::move(executions));
    }
  }
  return result;
}

} // namespace persimmon::check
