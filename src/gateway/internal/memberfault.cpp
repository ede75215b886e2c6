#include "gateway/memberfault.h"

namespace persimmon::gateway {
namespace {

/// Returns the fault of a member that gave no report.
member_fault
FaultWithoutReport(const instance_id& aMember, fleet::report_failure aFailure)
{
  switch (aFailure) {
    case fleet::report_failure::refused:
      return { fleet::fault_evidence::proof, "instance " + aMember.value + " refuses connections" };
    case fleet::report_failure::misdirected:
      return { fleet::fault_evidence::proof,
               "another instance answers at the address of " + aMember.value };
    case fleet::report_failure::no_answer:
    case fleet::report_failure::unreachable:
    case fleet::report_failure::invalid:
      break;
  }
  return { fleet::fault_evidence::silence, "no report from instance " + aMember.value };
}

} // namespace

std::optional<member_fault>
FindMemberFault(const fleet::engine_group& aGroup,
                const instance_id& aMember,
                incarnation aIncarnation,
                const fleet::report_result& aResult)
{
  if (!aResult.report) {
    return FaultWithoutReport(aMember, aResult.failure);
  }
  const fleet::engine_report& report = *aResult.report;
  if (report.incarnationId > aIncarnation) {
    return member_fault{ fleet::fault_evidence::proof, "instance " + aMember.value + " restarted" };
  }
  const auto& membership = report.membership;
  if (!membership || membership->group != aGroup.id || membership->epoch != aGroup.epoch) {
    return member_fault{ fleet::fault_evidence::proof,
                         "instance " + aMember.value + " left the group" };
  }
  if (membership->phase == fleet::member_phase::broken) {
    return member_fault{ fleet::fault_evidence::proof,
                         "instance " + aMember.value + " reports the group broken" };
  }
  return std::nullopt;
}

} // namespace persimmon::gateway
