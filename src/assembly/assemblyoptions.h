#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace persimmon::assembly {

/// Times and limits of an assembler.
struct assembly_options
{
  /// How often an instance is asked for its state, in a group and while one forms.
  duration askInterval{ 450 };
  duration askIntervalForming{ 150 };
  /// Questions a second to the heads of serving groups, and as many to their other members, above
  /// which each is asked less often: one process asks them all. Heads tell the load of their group;
  /// a standstill is seen by the calls that a group serves.
  double questionsPerSecond = 100;
  /// Longest time between two questions.
  duration longestAskInterval{ 1800 };
  /// Pause before an instance that did not answer is asked again.
  duration askAgain{ 60 };
  /// Questions without an answer after which an instance counts as lost.
  std::uint32_t missesUntilLost = 3;
  /// The same when a router saw its group stand still.
  std::uint32_t missesWhenSuspected = 2;
  /// Pause before an order without effect is given again.
  duration orderAgain{ 400 };
  /// Longest time that a closing group may take to finish.
  duration closeTime{ 10000 };
  /// Time that an incomplete group of a former leader gets to become complete.
  duration adoptionGrace{ 1500 };
  /// Time without a new instance after which the first ones count as all there, and the longest
  /// time to wait for that.
  duration settleTime{ 1000 };
  duration longestSettle{ 2500 };
  /// The same before callers come, when instances of a large fleet register one after the other.
  duration longestSettleAtStart{ 5000 };
  /// Longest time that a formation may take, as a multiple of its expected time.
  std::int64_t formingFactor = 4;
  /// Loads that may start at once before the rate holds.
  double loadBurst = 3;
  /// Part of the asked instances that must answer; otherwise this process is the one cut off.
  double quorum = 0.5;
};

} // namespace persimmon::assembly
