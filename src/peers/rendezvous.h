#pragma once

#include "base/ids.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace persimmon::peers {

/// Returns the aCount routers with the highest rendezvous weights for a key, highest first; all
/// routers if there are fewer.
std::vector<router_id>
SelectByWeight(std::string_view aKey, const std::vector<router_id>& aRouters, std::size_t aCount);

/// Returns the peers that a router links to: its successor on the ring of hashed ids and routers
/// selected by rendezvous hashing. Returns aCount peers in total, or all if there are fewer. aLive
/// may contain the router itself.
std::vector<router_id>
ChoosePeers(const router_id& aSelf, const std::vector<router_id>& aLive, std::size_t aCount);

/// Returns the two routers that poll a group's head, selected by rendezvous hashing among the live
/// routers; fewer if aLive has fewer.
std::vector<router_id>
ObserversOf(const group_id& aGroup, const std::vector<router_id>& aLive);

} // namespace persimmon::peers
