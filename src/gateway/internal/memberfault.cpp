#include "gateway/memberfault.h"

namespace persimmon::gateway {

std::string
FindMemberFault(const fleet::engine_group& aGroup,
                const instance_id& aMember,
                incarnation aIncarnation,
                const std::optional<fleet::engine_report>& aReport)
{
  if (!aReport) {
    return "no report from instance " + aMember.value;
  }
  if (aReport->incarnationId > aIncarnation) {
    return "instance " + aMember.value + " restarted";
  }
  const auto& membership = aReport->membership;
  if (!membership || membership->group != aGroup.id || membership->epoch != aGroup.epoch) {
    return "instance " + aMember.value + " left the group";
  }
  if (membership->phase == fleet::member_phase::broken) {
    return "instance " + aMember.value + " reports the group broken";
  }
  return {};
}

} // namespace persimmon::gateway
