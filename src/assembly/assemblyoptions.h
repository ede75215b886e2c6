#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace persimmon::assembly {

/// Timeouts, intervals and limits of a group_controller.
struct assembly_options
{
  /// True when domains are given to other models as the demand changes.
  bool movesDomains = true;
  /// Interval between two probes of an instance in no group or in a serving one, unless
  /// maxProbesPerSecond requires a longer interval for the latter.
  duration probeInterval{ 450 };
  /// Interval between two probes of a member of a group that is not yet or no longer serving.
  duration formingProbeInterval{ 150 };
  /// Probes per second to the heads of serving groups, and as many to their other members. Above
  /// this rate each instance is probed less often, because a single process probes all of them.
  /// The reports of the heads carry the load of their groups. A stalled group is detected by the
  /// calls that it serves.
  double maxProbesPerSecond = 100;
  /// Probes per second to all instances together, forming groups and silent instances included; 0
  /// for no limit. Those that are due wait for longer then, the longest due first.
  double maxProbesInAllPerSecond = 0;
  /// Upper bound of the interval between two probes, which takes precedence over the rate.
  duration maxProbeInterval{ 1800 };
  /// Delay before an instance that did not answer is probed again.
  duration probeRetryDelay{ 60 };
  /// Consecutive probes without an answer after which an instance counts as unresponsive: it is not
  /// selected, and a group that is still forming does without it.
  std::uint32_t missesUntilUnresponsive = 3;
  /// The same for members of a group that a router suspects to be stalled.
  std::uint32_t missesUntilUnresponsiveIfSuspected = 2;
  /// Consecutive probes that prove that an instance has ended, after which it counts as lost.
  std::uint32_t provedLossesUntilLost = 2;
  /// Silence after which an instance counts as lost without any proof, unless its group is at work.
  /// Releasing a group cuts off whatever it runs, and a sound instance may be silent for seconds.
  /// Longer where callers wait longer for an event, so that those of a group that stands still have
  /// left by then.
  duration silenceUntilLost{ 3200 };
  /// The same for an instance that accepts no connection either. Since then no call has reached a
  /// group that it heads, and what its group had before has stood still.
  duration unreachableUntilLost{ 2400 };
  /// The same if its head reports that the group runs nothing: a release cuts nothing off, and a
  /// group of sound instances is joined anew within a second.
  duration unreachableUntilLostIfIdle{ 1800 };
  /// Delay before an order that had no effect is sent again.
  duration orderRetryInterval{ 400 };
  /// Time that a closing group may take to finish its requests.
  duration closeTimeout{ 10000 };
  /// Time that an incomplete group of a former leader gets to become complete.
  duration adoptionGracePeriod{ 1500 };
  /// Time without a new instance after which the initial registration counts as finished.
  duration settlePeriod{ 1000 };
  /// Longest wait for the initial registration to finish, once there is demand.
  duration maxSettleTime{ 2500 };
  /// The same while there is no demand, when the instances of a large fleet register one by one.
  duration maxSettleTimeWithoutDemand{ 5000 };
  /// Timeout of forming a group, as a multiple of the time to load its model; a constant minimum
  /// is added.
  std::int64_t formingTimeoutFactor = 4;
  /// Loads that may start at once before the rate limit applies.
  double maxLoadBurst = 3;
  /// Fraction of the probed instances that must answer. With fewer answers the connection of this
  /// process is assumed to be faulty, and it makes no decisions about groups.
  double minReachableFraction = 0.5;
};

/// Returns the maxProbesInAllPerSecond of a process with a part of a processor, 0 when it is not
/// known: a probe takes about 0.3 ms, and callers wait behind it, so
/// that probes take a quarter of it at most.
[[nodiscard]] constexpr double
MaxProbesInAllPerSecond(double aProcessorQuota)
{
  constexpr double kProbesPerProcessorSecond = 800;
  return aProcessorQuota * kProbesPerProcessorSecond;
}

} // namespace persimmon::assembly
