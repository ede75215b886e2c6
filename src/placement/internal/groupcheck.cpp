#include "placement/internal/groupcheck.h"

#include <algorithm>

namespace persimmon::placement {

bool
IsAsOrdered(const member_state& aState, const group& aGroup, std::size_t aRank)
{
  return aState.group == aGroup.id && aState.version == aGroup.version && aState.rank == aRank &&
         aState.size == aGroup.members.size() && aState.model == aGroup.model &&
         aState.life == aGroup.members[aRank].life && aState.state != engine_state::idle;
}

bool
IsReadyFor(const member_state& aState, const group& aGroup, std::size_t aRank)
{
  return aState.state == engine_state::ready && IsAsOrdered(aState, aGroup, aRank);
}

bool
HearsAll(const member_state& aHead, const group& aGroup)
{
  return std::all_of(
    aGroup.members.begin(), aGroup.members.end(), [&](const group_member& aMember) {
      return std::any_of(
        aHead.members.begin(), aHead.members.end(), [&](const heard_member& aHeard) {
          return aHeard.instance == aMember.instance && aHeard.life == aMember.life &&
                 aHeard.version == aGroup.version && aHeard.state == engine_state::ready &&
                 aHeard.heard < kPresenceTimeout;
        });
    });
}

bool
DiffersInAdapterOnly(const model_spec& aLeft, const model_spec& aRight)
{
  return aLeft.model == aRight.model && aLeft.version == aRight.version &&
         aLeft.adapter != aRight.adapter;
}

} // namespace persimmon::placement
