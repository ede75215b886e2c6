#pragma once

#include "placement/domaintable.h"
#include "placement/memberstate.h"

namespace persimmon::placement {

/// A head that has not heard a member for this long does not count it as present.
constexpr duration kPresenceTimeout{ 1500 };

/// Returns whether an instance's state is what an order for this rank of the group asks for,
/// loaded or not.
bool
IsAsOrdered(const member_state& aState, const group& aGroup, std::size_t aRank);

/// Returns whether an instance is ready to serve in this rank of the group.
bool
IsReadyFor(const member_state& aState, const group& aGroup, std::size_t aRank);

/// Returns whether a head hears every member ready in the group's generation.
bool
HearsAll(const member_state& aHead, const group& aGroup);

/// Returns whether two models differ in nothing but the adapter.
bool
DiffersInAdapterOnly(const model_spec& aLeft, const model_spec& aRight);

} // namespace persimmon::placement
