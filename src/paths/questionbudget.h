#pragma once

#include "base/clock.h"

namespace persimmon::paths {

/// Bounds what a process asks its peers about upstreams that it does not reach, each question being
/// a connection to a peer and one of the peer to the upstream: callers wait behind them, here and
/// there. Each path that is found fills the budget again, so that lost paths are found as
/// fast as peers answer, and hosts that are gone for all cost little, however many there are. Does
/// no I/O and reads no clock; not thread-safe.
class question_budget
{
public:
  /// Takes a question; returns false when none is left. aMayBeCutOff tells that this process
  /// reaches no upstream itself, and so has little else to do.
  bool Take(time_point aNow, bool aMayBeCutOff);
  /// Records that a question has found a path: more of them are likely to be lost, so that further
  /// questions are worth asking.
  void OnPathFound();

private:
  void Refill(time_point aNow, double aPerSecond, double aMost);

  double mLeft = 0;
  bool mIsFilled = false;
  time_point mFilledAt;
};

} // namespace persimmon::paths
