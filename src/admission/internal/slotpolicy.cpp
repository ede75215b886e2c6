#include "admission/slotpolicy.h"

#include <algorithm>
#include <cmath>

namespace persimmon::admission {
namespace {

/// Utilisation at which no call uses a slot of another router, and the range below it in which ever
/// more calls do.
constexpr double kForeignLimit = 0.9;
constexpr double kForeignRange = 0.1;
/// The same for calls that are served late.
constexpr double kLateLimit = 1.15;
constexpr double kLateRange = 0.15;
/// By how much the latter limit is higher for callers who have come back.
constexpr double kLastChance = 0.15;
/// By how much these limits are lower for each more urgent rank.
constexpr double kLimitPerRank = 0.05;
/// Part of a router's own slots that a call leaves to each more urgent rank, and to all of them: a
/// rank keeps more than half of the slots, however hard others press.
constexpr double kReservedPerRank = 0.15;
constexpr double kMostReserved = 0.4;
/// Part of a router's own slots that a late call leaves to those that can be in time; one at least.
constexpr double kReservedForTimely = 0.4;

/// Returns whether a call's draw is below the part of calls that a utilisation allows.
bool
IsAllowed(const slot_demand& aDemand, double aLimit, double aRange)
{
  const double limit = aLimit - kLimitPerRank * static_cast<double>(aDemand.moreUrgentRanks);
  return aDemand.draw < (limit - aDemand.utilisation) / aRange;
}

} // namespace

bool
MayUseForeignSlot(const slot_demand& aDemand)
{
  return IsAllowed(aDemand, kForeignLimit, kForeignRange);
}

bool
MayBeServedLate(const slot_demand& aDemand)
{
  if (!aDemand.isStanding) {
    return true;
  }
  const double limit = kLateLimit + (aDemand.isLastChance ? kLastChance : 0);
  return IsAllowed(aDemand, limit, kLateRange);
}

std::size_t
ReservedSlots(std::size_t aOwnSlots, std::size_t aMoreUrgentRanks, bool aIsLate)
{
  const auto slots = static_cast<double>(aOwnSlots);
  const double part =
    std::min(kReservedPerRank * static_cast<double>(aMoreUrgentRanks), kMostReserved);
  const auto forUrgent = static_cast<std::size_t>(std::floor(part * slots));
  const auto forTimely = static_cast<std::size_t>(std::ceil(kReservedForTimely * slots));
  return aIsLate ? std::max(forUrgent, forTimely) : forUrgent;
}

} // namespace persimmon::admission
