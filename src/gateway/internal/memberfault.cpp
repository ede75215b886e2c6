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
    case fleet::report_failure::inconclusive:
    case fleet::report_failure::invalid:
      break;
  }
  return { fleet::fault_evidence::silence, "no report from instance " + aMember.value };
}

/// Returns true for a head that serves a later group than aGroup.
bool
ServesLaterGroup(const std::optional<fleet::group_membership>& aMembership,
                 const fleet::engine_group& aGroup)
{
  return aMembership && aMembership->epoch > aGroup.epoch && aMembership->rank == 0 &&
         (aMembership->phase == fleet::member_phase::open ||
          aMembership->phase == fleet::member_phase::closing);
}

} // namespace

std::optional<member_fault>
FindMemberFault(const fleet::engine_group& aGroup,
                const instance_id& aMember,
                incarnation aIncarnation,
                const fleet::report_result& aResult)
{
  if (!aResult.report && aResult.failure == fleet::report_failure::inconclusive) {
    return std::nullopt;
  }
  if (!aResult.report) {
    return FaultWithoutReport(aMember, aResult.failure);
  }
  const fleet::engine_report& report = *aResult.report;
  const auto& membership = report.membership;
  if (aMember == aGroup.Head() && ServesLaterGroup(membership, aGroup)) {
    // Calls that were sent before this process knew of the later group run there.
    return member_fault{ fleet::fault_evidence::silence,
                         "instance " + aMember.value + " serves a later group" };
  }
  const bool isKnown = aIncarnation != incarnation{};
  if (isKnown && report.incarnationId > aIncarnation) {
    return member_fault{ fleet::fault_evidence::proof, "instance " + aMember.value + " restarted" };
  }
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
