#pragma once

#include "base/ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace persimmon::placement {

/// Returns the placer among the live ones that a subject falls to by rendezvous hashing; nothing
/// when there are none. Placers that agree on who is live agree on the result.
std::optional<placer_id>
RendezvousOwner(std::string_view aSubject, const std::vector<placer_id>& aLive);

} // namespace persimmon::placement
