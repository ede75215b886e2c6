#pragma once

#include "base/ids.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace persimmon::peers {

/// Returns the aCount routers with the highest rendezvous weight for a key, highest first.
std::vector<router_id>
HighestWeights(std::string_view aKey, const std::vector<router_id>& aRouters, std::size_t aCount);

/// Returns the peers that a router links to: its successor on the ring of hashed ids and those by
/// rendezvous, aCount in all or as many as there are. aLive may contain the router itself.
std::vector<router_id>
ChoosePeers(const router_id& aSelf, const std::vector<router_id>& aLive, std::size_t aCount);

/// Returns the routers that poll a group's head, two by rendezvous over the live routers.
std::vector<router_id>
ObserversOf(const group_id& aGroup, const std::vector<router_id>& aLive);

} // namespace persimmon::peers
