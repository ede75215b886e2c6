#include "gateway/memberfault.h"

namespace persimmon::gateway {

std::string
FindMemberFault(const fleet::engine_group& aGroup,
                const instance_id& aMember,
                incarnation aLife,
                const std::optional<fleet::engine_report>& aReport)
{
  if (!aReport) {
    return "no report from instance " + aMember.value;
  }
  if (aReport->incarnationId > aLife) {
    return "instance " + aMember.value + " restarted";
  }
  const auto& member = aReport->membership;
  if (!member || member->group != aGroup.id || member->epoch != aGroup.epoch) {
    return "instance " + aMember.value + " left the group";
  }
  if (member->phase == fleet::member_phase::broken) {
    return "instance " + aMember.value + " reports the group broken";
  }
  return {};
}

} // namespace persimmon::gateway
