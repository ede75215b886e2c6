#pragma once

#include "fleet/enginegroup.h"
#include "fleet/enginereport.h"

#include <optional>
#include <string>

namespace persimmon::gateway {

/// Returns what speaks against a member of a group that should serve, by what it answered when it
/// was asked for its state; an empty text when nothing does.
std::string
FindMemberFault(const fleet::engine_group& aGroup,
                const instance_id& aMember,
                incarnation aLife,
                const std::optional<fleet::engine_report>& aReport);

} // namespace persimmon::gateway
