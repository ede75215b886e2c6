#include "admission/slotshares.h"

#include <algorithm>

namespace persimmon::admission {
namespace {

/// Returns the first place of a row of aSlots that belongs to a router: place p belongs to the
/// router at (p + 1/2) / aSlots of all routers.
std::size_t
FirstPlace(std::size_t aRouter, std::size_t aRouters, std::size_t aSlots)
{
  const std::size_t scaled = 2 * aSlots * aRouter;
  const std::size_t excess = scaled > aRouters ? scaled - aRouters : 0;
  const std::size_t divisor = 2 * aRouters;
  return (excess + divisor - 1) / divisor;
}

/// Returns how many of the first aPlaces places of the row are slots of a group.
std::size_t
PlacesOfGroup(std::size_t aPlaces, std::size_t aGroup, std::size_t aGroups)
{
  return (aPlaces + aGroups - 1 - aGroup) / aGroups;
}

} // namespace

slot_shares::slot_shares(std::size_t aRouter,
                         std::size_t aRouters,
                         std::size_t aGroups,
                         std::size_t aSlotsPerGroup)
  : mGroups(aGroups)
{
  const std::size_t routers = std::max<std::size_t>(aRouters, 1);
  const std::size_t slots = aGroups * aSlotsPerGroup;
  const std::size_t router = std::min(aRouter, routers - 1);
  mBegin = FirstPlace(router, routers, slots);
  mEnd = router + 1 == routers ? slots : FirstPlace(router + 1, routers, slots);
}

std::size_t
slot_shares::OfGroup(std::size_t aGroup) const
{
  if (aGroup >= mGroups) {
    return 0;
  }
  return PlacesOfGroup(mEnd, aGroup, mGroups) - PlacesOfGroup(mBegin, aGroup, mGroups);
}

} // namespace persimmon::admission
