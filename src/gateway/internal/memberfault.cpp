#include "gateway/memberfault.h"

namespace persimmon::gateway {

std::string
FindMemberFault(const fleet::engine_group& aGroup,
                const instance_id& aMember,
                incarnation aLife,
                const std::optional<fleet::engine_report>& aReport)
{
  if (!aReport) {
    return "no answer from " + aMember.value;
  }
  if (aReport->life > aLife) {
    return "restarted " + aMember.value;
  }
  const auto& member = aReport->member;
  if (!member || member->group != aGroup.id || member->epoch != aGroup.epoch) {
    return "left " + aMember.value;
  }
  if (member->phase == fleet::member_phase::broken) {
    return "reports broken " + aMember.value;
  }
  return {};
}

} // namespace persimmon::gateway
