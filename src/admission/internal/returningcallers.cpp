#include "admission/returningcallers.h"

namespace persimmon::admission {
namespace {

/// A caller with less than this part of the longest time of its route has waited before. Callers
/// of one route differ by a sixth at first, and those who are told to come back wait for a sixth
/// to a third of their time.
constexpr double kReturningPart = 0.8;
/// Time after which a longer wait of others is forgotten, such as when the route was changed.
constexpr duration kMemory{ 30000 };
/// Routes that are remembered.
constexpr std::size_t kMaxRoutes = 4096;

} // namespace

bool
returning_callers::IsReturning(const std::string& aRoute, duration aTimeout, time_point aNow)
{
  if (mByRoute.size() >= kMaxRoutes) {
    std::erase_if(mByRoute,
                  [aNow](const auto& aEntry) { return aNow - aEntry.second.seenAt > kMemory; });
  }
  if (mByRoute.size() >= kMaxRoutes && mByRoute.count(aRoute) == 0) {
    return false;
  }
  longest& known = mByRoute[aRoute];
  if (aTimeout >= known.timeout || aNow - known.seenAt > kMemory) {
    known = { aTimeout, aNow };
    return false;
  }
  return static_cast<double>(aTimeout.ms) < kReturningPart * static_cast<double>(known.timeout.ms);
}

} // namespace persimmon::admission
