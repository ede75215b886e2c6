#pragma once

namespace persimmon::placement {

/// How groups are formed and repaired. The defaults are what the placer runs; the others are
/// baselines for benchmarks.
struct placement_policy
{
  /// A group that loses a member keeps the others and gets a new member; otherwise it is dropped
  /// and formed anew.
  bool replaceMembers = true;
  /// Idle instances replace lost members; otherwise a group waits until its own members return.
  bool useSpares = true;
  /// Groups go to the domain with the least room that fits, spread over the zones; otherwise to
  /// the first domain that fits.
  bool bestFit = true;
  /// Instances that have the weights are chosen first.
  bool preferResident = true;
};

} // namespace persimmon::placement
