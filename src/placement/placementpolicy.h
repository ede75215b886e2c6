#pragma once

namespace persimmon::placement {

/// How groups are formed and repaired. The placer runs with the defaults; other values are
/// baselines for benchmarks.
struct placement_policy
{
  /// A lost member is replaced and the group keeps its other members; otherwise the group is
  /// dropped and a new one is formed.
  bool replaceMembers = true;
  /// Idle instances replace lost members; otherwise a group waits for its lost members to restart.
  bool useSpares = true;
  /// A group is placed in the zone with the fewest groups of its service, in the domain with the
  /// least sufficient capacity; otherwise in the first domain with sufficient capacity.
  bool bestFit = true;
  /// Instances that have the weights loaded are assigned first.
  bool preferResident = true;
};

} // namespace persimmon::placement
