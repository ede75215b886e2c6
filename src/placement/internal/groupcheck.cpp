#include "placement/internal/groupcheck.h"

#include <algorithm>

namespace persimmon::placement {

bool
IsAsOrdered(const member_state& aState, const group& aGroup, std::size_t aRank)
{
  return aState.group == aGroup.id && aState.version == aGroup.version && aState.rank == aRank &&
         aState.size == aGroup.members.size() && aState.model == aGroup.model &&
         aState.incarnationId == aGroup.members[aRank].incarnationId &&
         aState.state != engine_state::idle;
}

bool
IsReadyFor(const member_state& aState, const group& aGroup, std::size_t aRank)
{
  return aState.state == engine_state::ready && IsAsOrdered(aState, aGroup, aRank);
}

bool
AreAllMembersPresent(const member_state& aHead, const group& aGroup)
{
  return std::all_of(
    aGroup.members.begin(), aGroup.members.end(), [&](const group_member& aMember) {
      return std::any_of(
        aHead.members.begin(), aHead.members.end(), [&](const member_observation& aObserved) {
          return aObserved.instance == aMember.instance &&
                 aObserved.incarnationId == aMember.incarnationId &&
                 aObserved.version == aGroup.version && aObserved.state == engine_state::ready &&
                 aObserved.sinceLastMessage < kPresenceTimeout;
        });
    });
}

bool
DiffersOnlyInAdapter(const model_spec& aLeft, const model_spec& aRight)
{
  return aLeft.model == aRight.model && aLeft.version == aRight.version &&
         aLeft.adapter != aRight.adapter;
}

} // namespace persimmon::placement
