#include "check/checkreport.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon::check {
namespace {

constexpr std::size_t kMostViolationsShown = 5;
constexpr std::size_t kMostEventsShown = 12;

std::uint64_t
RequiredOf(const verdict& aVerdict, const required_counts& aRequired)
{
  const auto found = aRequired.find(aVerdict.subject);
  return found == aRequired.end() ? 1 : found->second;
}

std::string
RenderViolation(const verdict& aVerdict, const violation& aViolation)
{
  std::string text =
    fmt::format("VIOLATION {}: {}\n", PromiseName(aVerdict.subject), aViolation.what);
  const std::size_t shown = std::min(aViolation.events.size(), kMostEventsShown);
  for (std::size_t index = 0; index < shown; ++index) {
    const recorded_event& recorded = *aViolation.events[index];
    text += fmt::format(
      "  {}:{}: {}\n", recorded.file, recorded.line, history::RenderEvent(recorded.event));
  }
  return text;
}

std::string
RenderVerdict(const verdict& aVerdict, std::uint64_t aRequired)
{
  std::string text = fmt::format("{:<20} {:>8} checked, {} violations{}\n",
                                 PromiseName(aVerdict.subject),
                                 aVerdict.checked,
                                 aVerdict.violations.size(),
                                 aVerdict.checked < aRequired ? ", TOO FEW CHECKED" : "");
  const std::size_t shown = std::min(aVerdict.violations.size(), kMostViolationsShown);
  for (std::size_t index = 0; index < shown; ++index) {
    text += RenderViolation(aVerdict, aVerdict.violations[index]);
  }
  if (shown < aVerdict.violations.size()) {
    text += fmt::format("  and {} more\n", aVerdict.violations.size() - shown);
  }
  return text;
}

} // namespace

bool
IsProven(const std::vector<verdict>& aVerdicts, const required_counts& aRequired)
{
  return std::all_of(aVerdicts.begin(), aVerdicts.end(), [&](const verdict& aVerdict) {
    return aVerdict.violations.empty() && aVerdict.checked >= RequiredOf(aVerdict, aRequired);
  });
}

std::string
RenderVerdicts(const std::vector<verdict>& aVerdicts, const required_counts& aRequired)
{
  std::string text;
  for (const verdict& found : aVerdicts) {
    text += RenderVerdict(found, RequiredOf(found, aRequired));
  }
  return text;
}

} // namespace persimmon::check
