#pragma once

namespace persimmon::routing {

/// Why an upstream is not eligible for requests.
enum class ineligibility
{
  none,
  /// The group's state in the domain table is not serving, or the group has no members.
  not_serving,
  /// No observer has reported the group in its current generation.
  never_observed,
  /// The newest observation is older than kEvidenceLifetime.
  evidence_expired,
  /// The newest observation found a member missing, or in another incarnation or generation.
  members_mismatch,
  /// An observer reported a later generation than that of the domain table in force here.
  generation_superseded,
  /// A member is marked as leaving.
  member_leaving,
  /// The instance list has a later incarnation of a member than the domain table.
  member_restarted
};

/// Returns the name of a reason that logs and status pages use.
const char*
IneligibilityName(ineligibility aWhy);

} // namespace persimmon::routing
