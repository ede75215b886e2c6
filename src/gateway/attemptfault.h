#pragma once

#include "fleet/faultevidence.h"
#include "fleet/instance.h"
#include "gateway/sentgroup.h"

#include <optional>

namespace persimmon::gateway {

/// Returns how certain it is that a group does not continue a call; nothing when nothing speaks
/// against it. aRegistered is the present entry of the head, nullptr without one; aMark is the
/// evidence with which the group is marked as broken.
///
/// A head that has restarted or serves a later group may be the one that runs the call: entries
/// arrive late, so the call may have been sent after the change. If it runs no more, its connection
/// ends.
std::optional<fleet::fault_evidence>
FindAttemptFault(const sent_group& aSentTo,
                 const fleet::instance* aRegistered,
                 std::optional<fleet::fault_evidence> aMark);

} // namespace persimmon::gateway
