#include "check/verdict.h"

#include <algorithm>

namespace persimmon::check {

void
AddViolation(verdict& aVerdict, std::string aWhat, std::vector<const recorded_event*> aEvents)
{
  std::erase(aEvents, nullptr);
  std::stable_sort(
    aEvents.begin(), aEvents.end(), [](const recorded_event* aLeft, const recorded_event* aRight) {
      return aLeft->event.at < aRight->event.at;
    });
  aVerdict.violations.push_back({ std::move(aWhat), std::move(aEvents) });
}

} // namespace persimmon::check
