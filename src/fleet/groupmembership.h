#pragma once

#include "base/ids.h"

#include <cstddef>

namespace persimmon::fleet {

/// What an instance says of its part in a group.
enum class member_phase
{
  /// Loads or links up.
  joining,
  /// Holds the weights and waits.
  ready,
  /// Head only: takes requests.
  open,
  /// Head only: finishes what it runs and takes nothing new.
  closing,
  /// Head only: a member is missing and the group serves no more.
  broken
};

const char*
MemberPhaseName(member_phase aPhase);

/// An instance's part in a group.
struct group_membership
{
  group_id group;
  /// Grows with each formation; an instance refuses one that is lower than any it has seen.
  generation epoch;
  /// Place among the members; 0 is the head.
  std::size_t rank = 0;
  member_phase phase = member_phase::joining;

  bool operator==(const group_membership&) const = default;
};

} // namespace persimmon::fleet
