#pragma once

namespace persimmon::routing {

/// Why an upstream gets no requests.
enum class ineligibility
{
  none,
  /// The domain table has the group in another state than serving.
  not_serving,
  /// No observer has reported the group in its present generation.
  never_observed,
  /// The newest observation is older than kEvidenceLifetime.
  evidence_expired,
  /// The newest observation misses a member, or has one in another life or generation.
  members_mismatch,
  /// An observer knows a later generation than the table in force here.
  generation_superseded,
  /// A member was marked as leaving.
  member_leaving,
  /// The instance list shows a member in a later life than the table.
  member_restarted
};

/// Name of a reason as logs and status pages write it.
const char*
IneligibilityName(ineligibility aWhy);

} // namespace persimmon::routing
