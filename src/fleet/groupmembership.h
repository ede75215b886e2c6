#pragma once

#include "base/ids.h"

#include <cstddef>

namespace persimmon::fleet {

/// Phase of a group member, as the instance reports it.
enum class member_phase
{
  /// Loads the weights or connects to the other members.
  joining,
  /// Holds the weights and waits.
  ready,
  /// Head only: accepts requests.
  open,
  /// Head only: finishes the accepted requests and accepts no new ones.
  closing,
  /// Head only: a member is missing and the group no longer serves.
  broken
};

/// Returns the name of a phase as it appears on the wire and in logs.
const char*
MemberPhaseName(member_phase aPhase);

/// The membership of an instance in a group.
struct group_membership
{
  group_id group;
  /// Increases with each group that is formed. An instance refuses orders with a lower epoch than
  /// the highest that it has seen.
  generation epoch;
  /// Position among the members; 0 is the head.
  std::size_t rank = 0;
  member_phase phase = member_phase::joining;

  bool operator==(const group_membership&) const = default;
};

} // namespace persimmon::fleet
