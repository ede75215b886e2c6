#pragma once

#include "placement/domaintable.h"
#include "placement/memberstate.h"

namespace persimmon::placement {

/// A member is not present when its head has not received a message from it for this long.
constexpr duration kPresenceTimeout{ 1500 };

/// Returns whether an instance's state matches an order for this rank of the group, whether or not
/// the model is loaded yet.
bool
IsAsOrdered(const member_state& aState, const group& aGroup, std::size_t aRank);

/// Returns whether an instance is ready to serve in this rank of the group.
bool
IsReadyFor(const member_state& aState, const group& aGroup, std::size_t aRank);

/// Returns whether the head recently received a message from every member and each is ready in the
/// group's generation.
bool
AreAllMembersPresent(const member_state& aHead, const group& aGroup);

/// Returns whether two models differ only in the adapter.
bool
DiffersOnlyInAdapter(const model_spec& aLeft, const model_spec& aRight);

} // namespace persimmon::placement
