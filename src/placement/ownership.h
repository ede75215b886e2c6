#pragma once

#include "base/ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace persimmon::placement {

/// Returns the live placer that owns a subject by rendezvous hashing; empty when aLive is empty.
/// Placers with the same set of live placers compute the same result.
std::optional<placer_id>
RendezvousOwner(std::string_view aSubject, const std::vector<placer_id>& aLive);

} // namespace persimmon::placement
