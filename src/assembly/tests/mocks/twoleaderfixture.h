#pragma once

#include "assembly/tests/mocks/controllerfixture.h"

#include <iterator>

namespace persimmon::assembly {

/// A simulated fleet and two controllers that alternate as leader. The former one can act once more
/// with its old token.
struct two_leader_fixture : controller_fixture
{
  group_controller other{ simulator.service, assembly_options{} };
  bool otherIsLeading = false;
  std::uint64_t token = 1;

  group_controller& Current() { return otherIsLeading ? other : controller; }
  group_controller& Former() { return otherIsLeading ? controller : other; }

  /// Returns the engine that a random number selects.
  engine_simulator::engine& Select(unsigned aNumber)
  {
    auto it = simulator.engines.begin();
    std::advance(it, aNumber % simulator.engines.size());
    return it->second;
  }

  /// The other controller takes the lease over. Orders of the former one may be on their way.
  void ChangeLeader()
  {
    otherIsLeading = !otherIsLeading;
    Current().StartLeading({ ++token }, now);
  }

  /// Steps the current leader every 50 ms for a span of time.
  void RunCurrent(duration aSpan)
  {
    const time_point end = now + aSpan;
    while (now < end) {
      now = now + 50_ms;
      Step(Current());
    }
  }
};

} // namespace persimmon::assembly
