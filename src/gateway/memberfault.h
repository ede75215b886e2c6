#pragma once

#include "fleet/enginegroup.h"
#include "fleet/faultevidence.h"
#include "fleet/reportresult.h"

#include <optional>
#include <string>

namespace persimmon::gateway {

/// Why a group may not work because of one of its members.
struct member_fault
{
  fleet::fault_evidence evidence = fleet::fault_evidence::silence;
  /// Description for logs.
  std::string cause;
};

/// Returns the fault of a member of a serving group; nothing when it has none. aIncarnation is the
/// registered incarnation of the member, zero when its entry does not tell it; aResult is its
/// response to a request for its report.
std::optional<member_fault>
FindMemberFault(const fleet::engine_group& aGroup,
                const instance_id& aMember,
                incarnation aIncarnation,
                const fleet::report_result& aResult);

} // namespace persimmon::gateway
