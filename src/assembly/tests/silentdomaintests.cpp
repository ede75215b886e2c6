#include "assembly/tests/mocks/controllerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::assembly;

// Each test cuts the leader alone off from sound instances for longer than a silence lasts. Their
// groups are at work for other processes and are not cut off when the leader reaches them again.
// clang-format off
TEST_GROUP(silent_domains)
{
  controller_fixture fixture;

  void Start(std::size_t aDomains)
  {
    fixture.AddInstances(aDomains, 10);
    fixture.controller.StartLeading({ 1 }, fixture.now);
    fixture.RunFor(8_s);
    fixture.sentOrders.clear();
  }

  /// Returns the engines of a domain; all when it is empty.
  std::vector<engine_simulator::engine*> Domain(const std::string& aDomain)
  {
    std::vector<engine_simulator::engine*> found;
    for (auto& [id, engine] : fixture.simulator.engines) {
      if (aDomain.empty() || engine.entry.domain.value == aDomain) {
        found.push_back(&engine);
      }
    }
    return found;
  }

  /// Cuts engines off and lets them answer again one after another.
  void CutOff(const std::vector<engine_simulator::engine*>& aEngines, duration aLength, duration aStep)
  {
    for (engine_simulator::engine* engine : aEngines) {
      engine->reachable = false;
    }
    fixture.RunFor(aLength);
    for (engine_simulator::engine* engine : aEngines) {
      engine->reachable = true;
      if (aStep.ms > 0) {
        fixture.RunFor(aStep);
      }
    }
    fixture.RunFor(3_s);
  }
};
// clang-format on

// Guards against all groups of an availability zone that are cut off when the link to it is back.
TEST(silent_domains, GroupsOfADomainAreNotCutOffWhenItAnswersAgain)
{
  Start(3);
  const std::size_t open = fixture.simulator.CountOpenGroups();
  for (const duration step : { 0_ms, 50_ms }) {
    CutOff(Domain("d0"), 4_s, step);
    UNSIGNED_LONGS_EQUAL(0, fixture.simulator.leavesOfOpenHeads);
    UNSIGNED_LONGS_EQUAL(open, fixture.simulator.CountOpenGroups());
  }
}

// Guards against groups that are released as soon as half of the instances answer again, since the
// others are probed a little later.
TEST(silent_domains, GroupsAreNotCutOffWhenAllAnswerOneAfterAnother)
{
  Start(2);
  CutOff(Domain(""), 4_s, 50_ms);
  UNSIGNED_LONGS_EQUAL(0, fixture.sentOrders.size());
}

// Guards against an order to leave that waits for the end of a silence and is carried out then.
TEST(silent_domains, SilentHeadGetsNoOrderToLeaveForItsSilence)
{
  Start(2);
  engine_simulator::engine& head = *fixture.FindMember(true);
  const std::vector<instance_id> members = head.members;
  for (const instance_id& member : members) {
    fixture.simulator.engines.at(member).dropsReplies = true;
  }
  head.reachable = false;
  fixture.RunFor(5_s);
  for (const engine_order& order : fixture.sentOrders) {
    CHECK(order.kind != order_kind::leave || order.instance != head.entry.id);
  }
}
