#include "assembly/tests/mocks/controllerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::assembly;

namespace {

/// Length of a silence of a sound instance.
constexpr duration kUsualSilence = 1600_ms;
/// Time in which a probe notices that a member can't be reached.
constexpr duration kNoticeTime = 700_ms;

} // namespace

// clang-format off
TEST_GROUP(unreachable_members)
{
  controller_fixture fixture;

  void setup() override
  {
    fixture.AddInstances(2, 10);
    fixture.controller.StartLeading({ 1 }, fixture.now);
    fixture.RunFor(8_s);
    fixture.sentOrders.clear();
  }

  /// Cuts an instance off, so that it accepts no connections either; its group has calls at work.
  engine_simulator::engine& CutOff(bool aIsHead, std::uint64_t aRunning)
  {
    engine_simulator::engine& member = *fixture.FindMember(aIsHead);
    fixture.simulator.engines.at(member.members.front()).running = aRunning;
    member.reachable = false;
    member.acceptsConnections = false;
    return member;
  }

  /// Checks that a group with a silent member is released once its callers have left, and not before.
  void CheckKeptForCallers()
  {
    fixture.controller.SetCallerPatience(4_s);
    fixture.RunFor(3900_ms);
    CHECK(!HasOrderedToLeave());
    fixture.RunFor(100_ms + kNoticeTime);
    CHECK(HasOrderedToLeave());
  }

  bool HasOrderedToLeave()
  {
    return std::any_of(fixture.sentOrders.begin(), fixture.sentOrders.end(), [](const engine_order& aOrder) {
      return aOrder.kind == order_kind::leave;
    });
  }
};
// clang-format on

// Guards against survivors that wait for over three seconds although their group runs nothing that
// a release could cut off.
TEST(unreachable_members, GroupThatRunsNothingIsReleasedAfterLongestUsualSilence)
{
  CutOff(false, 0);
  fixture.RunFor(1800_ms + kNoticeTime);
  CHECK(HasOrderedToLeave());
  fixture.RunFor(2_s);
  CHECK(fixture.simulator.violations.empty());
}

// Guards against survivors that wait on although all callers of their group have left.
TEST(unreachable_members, GroupIsReleasedOnceItsCallersHaveLeft)
{
  for (const bool isHead : { false, true }) {
    CutOff(isHead, 3);
    fixture.RunFor(2_s);
    CHECK(!HasOrderedToLeave());
    fixture.RunFor(400_ms + kNoticeTime);
    CHECK(HasOrderedToLeave());
    fixture.RunFor(5_s);
    fixture.sentOrders.clear();
  }
  CHECK(fixture.simulator.violations.empty());
}

// Guards against streams that are cut off while their callers still wait: where a route allows long
// pauses, callers wait longer.
TEST(unreachable_members, GroupOfAnUnreachableMemberIsKeptForAsLongAsItsCallersWait)
{
  CutOff(false, 3);
  CheckKeptForCallers();
}

TEST(unreachable_members, GroupOfASilentMemberIsKeptForAsLongAsItsCallersWait)
{
  CutOff(false, 3).acceptsConnections = true;
  CheckKeptForCallers();
}

// Guards against a sound instance that is cut off for a second or so, and whose group is released.
TEST(unreachable_members, UsualSilenceReleasesNoGroup)
{
  for (const duration silence : { 600_ms, 1000_ms, kUsualSilence }) {
    for (const bool isHead : { true, false }) {
      for (const std::uint64_t running : { 0U, 3U }) {
        engine_simulator::engine& member = CutOff(isHead, running);
        fixture.RunFor(silence);
        member.reachable = true;
        fixture.RunFor(1_s);
      }
    }
  }
  UNSIGNED_LONGS_EQUAL(0, fixture.sentOrders.size());
}

// Guards against silences of a part of what an instance says that add up to an unreachable one.
TEST(unreachable_members, InstanceThatAcceptsConnectionsIsOnlySilent)
{
  engine_simulator::engine& member = CutOff(false, 0);
  for (int i = 0; i < 3; ++i) {
    fixture.RunFor(700_ms);
    member.acceptsConnections = true;
    fixture.RunFor(100_ms);
    member.acceptsConnections = false;
  }
  fixture.RunFor(400_ms);
  UNSIGNED_LONGS_EQUAL(0, fixture.sentOrders.size());
}

// Guards against a group that is released since a member that leaves as planned listens no more.
TEST(unreachable_members, DrainingMemberIsNotLostForClosedAddress)
{
  fixture.holdOrders = true;
  engine_simulator::engine& member = CutOff(false, 0);
  member.entry.draining = true;
  fixture.RunFor(2500_ms);
  CHECK(!HasOrderedToLeave());
}

// Guards against survivors that wait for their reports to say what their answer to the order has
// said already.
TEST(unreachable_members, SurvivorsJoinAtOnceThoughTheirReportsLag)
{
  fixture.simulator.reportLag = 200_ms;
  CutOff(true, 0);
  while (!HasOrderedToLeave()) {
    fixture.RunFor(50_ms);
  }
  fixture.sentOrders.clear();
  fixture.RunFor(150_ms);
  CHECK(std::any_of(fixture.sentOrders.begin(),
                    fixture.sentOrders.end(),
                    [](const engine_order& aOrder) { return aOrder.kind == order_kind::join; }));
  CHECK(fixture.simulator.violations.empty());
}
