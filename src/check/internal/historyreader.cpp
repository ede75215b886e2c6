#include "check/historyreader.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::check {

bool
ReadHistory(std::string_view aText,
            const std::string& aFile,
            std::vector<recorded_event>& aEvents,
            std::string& aProblem)
{
  std::size_t start = 0;
  for (std::size_t line = 1; start < aText.size(); ++line) {
    const std::size_t feed = aText.find('\n', start);
    const bool isWhole = feed != std::string_view::npos;
    const std::size_t end = isWhole ? feed : aText.size();
    std::string problem;
    auto event = history::ParseEvent(aText.substr(start, end - start), problem);
    if (event) {
      aEvents.push_back({ std::move(*event), aFile, line });
    } else if (isWhole) {
      aProblem = fmt::format("{}:{}: {}", aFile, line, problem);
      return false;
    }
    start = end + 1;
  }
  return true;
}

void
SortByTime(std::vector<recorded_event>& aEvents)
{
  std::stable_sort(
    aEvents.begin(), aEvents.end(), [](const recorded_event& aLeft, const recorded_event& aRight) {
      return aLeft.event.at < aRight.event.at;
    });
}

} // namespace persimmon::check
