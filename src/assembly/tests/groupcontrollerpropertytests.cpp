#include "assembly/tests/mocks/twoleaderfixture.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace persimmon;
using namespace persimmon::assembly;

namespace {

/// A fault, its recovery, or a regular event.
enum class event
{
  kill,
  restart,
  make_unreachable,
  make_reachable,
  hold_orders,
  deliver_orders,
  change_leader,
  former_leader_acts,
  drain,
  none
};

/// Number of values of `event`.
constexpr int kEventCount = 10;

/// Two leaders beside random events.
struct eventful_fixture : two_leader_fixture
{
  /// Applies an event, to the engine that a random number selects where it needs one.
  void Apply(event aEvent, unsigned aNumber)
  {
    engine_simulator::engine& target = Select(aNumber);
    switch (aEvent) {
      case event::kill:
        target.alive = false;
        break;
      case event::restart:
        simulator.Restart(target);
        break;
      case event::make_unreachable:
        target.reachable = false;
        break;
      case event::make_reachable:
        target.reachable = true;
        break;
      case event::hold_orders:
        holdOrders = true;
        break;
      case event::deliver_orders:
        holdOrders = false;
        DeliverHeldOrders();
        break;
      case event::change_leader:
        ChangeLeader();
        break;
      case event::former_leader_acts:
        Step(Former());
        break;
      case event::drain:
        target.entry.draining = true;
        break;
      case event::none:
        break;
    }
  }

  /// Forms the groups of two domains with six instances each.
  void Start()
  {
    AddInstances(2, 6);
    controller.StartLeading({ 1 }, now);
    RunCurrent(6_s);
  }
};

/// Draws a sequence of events, each with a random number that selects the affected engine.
std::vector<std::pair<int, unsigned>>
DrawEvents()
{
  return *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
    rc::gen::pair(rc::gen::inRange(0, kEventCount), rc::gen::arbitrary<unsigned>()));
}

} // namespace

// clang-format off
TEST_GROUP(group_controller_properties)
{
};
// clang-format on

TEST(group_controller_properties, InvariantsHoldUnderRandomFaults)
{
  const bool passed =
    rc::check("groups open only when complete, instances join only one group", [] {
      eventful_fixture fixture;
      fixture.Start();
      const auto events = DrawEvents();
      for (const auto& [kind, number] : events) {
        fixture.Apply(static_cast<event>(kind), number);
        fixture.RunCurrent(duration{ 200 + static_cast<std::int64_t>(number % 3000) });
      }
      fixture.DeliverHeldOrders();
      fixture.RunCurrent(2_s);
      for (const std::string& violation : fixture.simulator.violations) {
        RC_FAIL(violation);
      }
    });
  CHECK(passed);
}

TEST(group_controller_properties, GroupsServeAgainAfterRecovery)
{
  const bool passed = rc::check("groups serve again once all faults are repaired", [] {
    eventful_fixture fixture;
    fixture.Start();
    const auto events = DrawEvents();
    for (const auto& [kind, number] : events) {
      fixture.Apply(static_cast<event>(kind), number);
      fixture.RunCurrent(500_ms);
    }
    fixture.holdOrders = false;
    for (auto& [id, target] : fixture.simulator.engines) {
      target.reachable = true;
      target.entry.draining = false;
      if (!target.alive) {
        fixture.simulator.Restart(target);
      }
    }
    fixture.RunCurrent(90_s);
    // Each domain of six instances forms at least one group of four or three pairs.
    RC_ASSERT(fixture.simulator.CountOpenGroups() >= 2U);
  });
  CHECK(passed);
}
