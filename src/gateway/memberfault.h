#pragma once

#include "fleet/enginegroup.h"
#include "fleet/enginereport.h"

#include <optional>
#include <string>

namespace persimmon::gateway {

/// Returns a description of the fault of a member of a serving group, or an empty text when it has
/// none. aIncarnation is the registered incarnation of the member; aReport is its response to a
/// state request, or nothing when it did not respond.
std::string
FindMemberFault(const fleet::engine_group& aGroup,
                const instance_id& aMember,
                incarnation aIncarnation,
                const std::optional<fleet::engine_report>& aReport);

} // namespace persimmon::gateway
