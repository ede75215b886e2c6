#include "assembly/tests/mocks/controllerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::assembly;

namespace {

/// Time in which a closing group may finish, with some reserve before its end.
constexpr duration kFinishTime{ 9000 };

} // namespace

// Each test has a group that finishes its requests as planned. Nothing cuts them off before the
// time that a closing group has.
// clang-format off
TEST_GROUP(planned_ends)
{
  controller_fixture fixture;

  void setup() override
  {
    fixture.AddInstances(2, 10);
    fixture.controller.StartLeading({ 1 }, fixture.now);
    fixture.RunFor(8_s);
    fixture.sentOrders.clear();
  }

  engine_simulator::engine& HeadOf(const engine_simulator::engine& aMember)
  {
    return fixture.simulator.engines.at(aMember.members.front());
  }

  /// An instance drains while its group has requests at work, and then stops listening.
  engine_simulator::engine& Drain(bool aIsHead)
  {
    engine_simulator::engine& leaving = *fixture.FindMember(aIsHead);
    HeadOf(leaving).running = 5;
    leaving.entry.draining = true;
    fixture.RunFor(2_s);
    leaving.alive = false;
    return leaving;
  }

  std::size_t CountLeaves()
  {
    return static_cast<std::size_t>(
      std::count_if(fixture.sentOrders.begin(), fixture.sentOrders.end(), [](const engine_order& aOrder) {
        return aOrder.kind == order_kind::leave;
      }));
  }

  /// Another process takes the lease over.
  void TakeOver()
  {
    fixture.controller.StartLeading({ 2 }, fixture.now);
    fixture.sentOrders.clear();
  }
};
// clang-format on

// Guards against requests of a group that are cut off 3 s after its draining member stopped
// listening, although its head still works on them.
TEST(planned_ends, DrainingMemberStaysUntilItsHeadHasFinished)
{
  engine_simulator::engine& leaving = Drain(false);
  fixture.RunFor(kFinishTime - 2_s);
  UNSIGNED_LONGS_EQUAL(0, CountLeaves());
  HeadOf(leaving).entry.membership->phase = fleet::member_phase::ready;
  fixture.RunFor(3_s);
  CHECK(fixture.simulator.violations.empty());
}

// Guards against the same where the head itself drains and its reports end.
TEST(planned_ends, DrainingHeadFinishesItsRequests)
{
  Drain(true);
  fixture.RunFor(kFinishTime - 2_s);
  UNSIGNED_LONGS_EQUAL(0, CountLeaves());
}

// Guards against survivors that wait for the rest of the time although the draining head has left.
TEST(planned_ends, SurvivorsOfAHeadThatHasLeftAreFree)
{
  engine_simulator::engine& leaving = Drain(true);
  fixture.RunFor(500_ms);
  leaving.registered = false;
  fixture.RunFor(1500_ms);
  CHECK(CountLeaves() > 0);
}

// Guards against a wait for a group that has broken meanwhile.
TEST(planned_ends, BrokenGroupOfADrainingMemberIsReleasedAtOnce)
{
  engine_simulator::engine& leaving = Drain(false);
  HeadOf(leaving).entry.membership->phase = fleet::member_phase::broken;
  fixture.RunFor(1_s);
  CHECK(CountLeaves() > 0);
}

// Guards against a new leader that cuts off what a closing head finishes, since the entry of a
// member has lapsed.
TEST(planned_ends, NewLeaderLetsAClosingHeadFinish)
{
  engine_simulator::engine& member = *fixture.FindMember(false);
  engine_simulator::engine& head = HeadOf(member);
  head.running = 5;
  head.entry.membership->phase = fleet::member_phase::closing;
  fixture.simulator.engines.erase(member.entry.id);
  TakeOver();
  fixture.RunFor(kFinishTime);
  UNSIGNED_LONGS_EQUAL(0, CountLeaves());
}

// Guards against a new leader that cuts off a group whose head it doesn't know, since the head's
// entry has lapsed.
TEST(planned_ends, NewLeaderLetsAnUnknownHeadFinish)
{
  const engine_simulator::engine head = *fixture.FindMember(true);
  fixture.simulator.engines.erase(head.entry.id);
  TakeOver();
  fixture.RunFor(kFinishTime);
  UNSIGNED_LONGS_EQUAL(0, CountLeaves());
  // Its entry is back, so that it can be told to finish.
  fixture.simulator.engines[head.entry.id] = head;
  fixture.RunFor(500_ms);
  UNSIGNED_LONGS_EQUAL(0, fixture.simulator.leavesOfOpenHeads);
  CHECK(std::any_of(
    fixture.sentOrders.begin(), fixture.sentOrders.end(), [&](const engine_order& aOrder) {
      return aOrder.kind == order_kind::close && aOrder.instance == head.entry.id;
    }));
}

// Guards against a new leader that releases a group since one member is silent as it begins.
TEST(planned_ends, NewLeaderWaitsForASilentMember)
{
  for (const bool isHead : { false, true }) {
    engine_simulator::engine& silent = *fixture.FindMember(isHead);
    silent.reachable = false;
    fixture.RunFor(500_ms);
    TakeOver();
    fixture.RunFor(1600_ms);
    silent.reachable = true;
    fixture.RunFor(3_s);
    UNSIGNED_LONGS_EQUAL(0, CountLeaves());
  }
}
