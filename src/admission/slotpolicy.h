#pragma once

#include "base/clock.h"

#include <cstddef>

namespace persimmon::admission {

/// Part of a group's slots up to which routers without a slot of their own there send calls to it:
/// the rest is for those whose slots they are, and for what news of the group does not show yet.
constexpr double kForeignFill = 0.9;

/// Time after which full groups count as overloaded.
constexpr duration kStandingTime{ 1500 };

/// How full the groups of a model are, and how a call stands among others; decides whether a call
/// without a slot of its router's own may use another one.
struct slot_demand
{
  /// Calls that run or wait at the groups of the model, relative to their slots.
  double utilisation = 0;
  /// Number of more urgent ranks of which calls have arrived lately.
  std::size_t moreUrgentRanks = 0;
  /// Number from 0 to 1 that is drawn once for each call, so that of many routers with the same
  /// news some send their calls and others do not.
  double draw = 0;
  /// The groups have been full for a while: what waits there is no passing queue.
  bool isStanding = true;
  /// The call's caller has been told once to come back, and will not come again.
  bool isLastChance = false;
};

/// Returns whether a call may be sent to a slot of another router. With little load every call may;
/// as the groups fill up, fewer and fewer, since news of free slots is older than the calls that
/// take them; where all are full, none.
[[nodiscard]] bool
MayUseForeignSlot(const slot_demand& aDemand);

/// Returns whether a call that can no longer be in time may be served late. It is, until the groups
/// have been full for a while, as after a loss that is made up for soon; from then on, only while
/// queues are short, and those of callers who have come back while they are a little longer.
[[nodiscard]] bool
MayBeServedLate(const slot_demand& aDemand);

/// Returns how many of a router's own slots a call leaves free for more urgent ones, and a late one
/// for those that can be in time.
[[nodiscard]] std::size_t
ReservedSlots(std::size_t aOwnSlots, std::size_t aMoreUrgentRanks, bool aIsLate);

} // namespace persimmon::admission
