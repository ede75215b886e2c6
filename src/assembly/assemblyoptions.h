#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace persimmon::assembly {

/// Times and limits of an assembler.
struct assembly_options
{
  /// How often an instance is asked for its state, in a group and while one forms.
  duration probeInterval{ 450 };
  duration formingProbeInterval{ 150 };
  /// Questions a second to the heads of serving groups, and as many to their other members, above
  /// which each is asked less often: one process asks them all. Heads tell the load of their group;
  /// a standstill is seen by the calls that a group serves.
  double maxProbesPerSecond = 100;
  /// Longest time between two questions.
  duration maxProbeInterval{ 1800 };
  /// Pause before an instance that did not answer is asked again.
  duration probeRetryDelay{ 60 };
  /// Questions without an answer after which an instance counts as lost.
  std::uint32_t missesUntilLost = 3;
  /// The same when a router saw its group stand still.
  std::uint32_t missesUntilLostIfSuspected = 2;
  /// Pause before an order without effect is given again.
  duration orderRetryInterval{ 400 };
  /// Longest time that a closing group may take to finish.
  duration closeTimeout{ 10000 };
  /// Time that an incomplete group of a former leader gets to become complete.
  duration adoptionGracePeriod{ 1500 };
  /// Time without a new instance after which the first ones count as all there, and the longest
  /// time to wait for that.
  duration settlePeriod{ 1000 };
  duration maxSettleTime{ 2500 };
  /// The same before callers come, when instances of a large fleet register one after the other.
  duration maxSettleTimeWithoutDemand{ 5000 };
  /// Longest time that a formation may take, as a multiple of its expected time.
  std::int64_t formingTimeoutFactor = 4;
  /// Loads that may start at once before the rate holds.
  double maxLoadBurst = 3;
  /// Part of the asked instances that must answer; otherwise this process is the one cut off.
  double minReachableFraction = 0.5;
};

} // namespace persimmon::assembly
