#include "assembly/tests/mocks/controllerfixture.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::assembly;

// clang-format off
TEST_GROUP(group_controller)
{
  assembly_rig rig;

  void Start(std::size_t aDomains, std::size_t aHosts)
  {
    rig.Fill(aDomains, aHosts);
    rig.leader.StartLeading({ 1 }, rig.now);
    rig.Run(8_s);
  }

  std::size_t Count(order_kind aKind)
  {
    return static_cast<std::size_t>(
      std::count_if(rig.given.begin(), rig.given.end(), [aKind](const engine_order& aOrder) {
        return aOrder.kind == aKind;
      }));
  }
};
// clang-format on

TEST(group_controller, FreshInstancesBecomeOpenGroupsOfBothModels)
{
  Start(2, 10);
  // One domain holds two groups of four, the other five pairs.
  UNSIGNED_LONGS_EQUAL(7, rig.engines.OpenGroups());
  CHECK(rig.engines.broken.empty());
}

TEST(group_controller, FleetThatRegistersSlowlyIsDividedOnceItIsWhole)
{
  rig.leader.StartLeading({ 1 }, rig.now);
  for (std::size_t i = 0; i < 10; ++i) {
    for (std::size_t domain = 0; domain < 4; ++domain) {
      rig.engines.Add("h" + std::to_string(domain) + "-" + std::to_string(i),
                      "d" + std::to_string(domain));
    }
    rig.Run(400_ms);
  }
  rig.Run(8_s);
  // Two domains hold two groups of four each, the others five pairs each.
  UNSIGNED_LONGS_EQUAL(14, rig.engines.OpenGroups());
}

TEST(group_controller, DoesNothingWithoutTheLease)
{
  rig.Fill(2, 10);
  rig.Run(3_s);
  UNSIGNED_LONGS_EQUAL(0, rig.given.size());
}

TEST(group_controller, SteadyGroupsGetNoOrders)
{
  Start(2, 10);
  const std::size_t before = rig.given.size();
  rig.Run(20_s);
  UNSIGNED_LONGS_EQUAL(before, rig.given.size());
}

TEST(group_controller, LostMemberEndsTheGroupAndSurvivorsServeAgain)
{
  Start(2, 10);
  rig.Member(false)->alive = false;
  rig.Run(1500_ms);
  CHECK(Count(order_kind::leave) > 0);
  rig.Run(4_s);
  CHECK(rig.engines.OpenGroups() >= 6);
  CHECK(rig.engines.broken.empty());
}

TEST(group_controller, AnswersLostOnALossyLinkEndNoGroup)
{
  Start(2, 10);
  rig.given.clear();
  for (int i = 0; i < 20; ++i) {
    engine_sim::host* member = rig.Member(i % 2 == 0);
    member->reachable = false;
    rig.Run(100_ms);
    member->reachable = true;
    rig.Run(900_ms);
  }
  UNSIGNED_LONGS_EQUAL(0, Count(order_kind::leave));
}

TEST(group_controller, SurvivorsOfAHeadThatLivesUnseenLeaveBeforeTheyJoin)
{
  Start(1, 10);
  engine_sim::host* head = rig.Member(true);
  head->reachable = false;
  rig.given.clear();
  rig.Run(4_s);
  CHECK(rig.engines.broken.empty());
  // The survivor serves again with another.
  CHECK(Count(order_kind::leave) > 0);
}

TEST(group_controller, SurvivorWhoseLeaveHasNoAnswerJoinsNothing)
{
  Start(1, 4);
  engine_sim::host* head = rig.Member(true);
  head->reachable = false;
  for (auto& [id, one] : rig.engines.hosts) {
    one.mute = true;
  }
  rig.holds = true;
  rig.given.clear();
  rig.Run(3_s);
  UNSIGNED_LONGS_EQUAL(0, Count(order_kind::join));
}

TEST(group_controller, RestartedMemberIsNoMemberUnderItsOldId)
{
  Start(1, 10);
  engine_sim::host* member = rig.Member(false);
  rig.engines.Restart(*member);
  rig.Run(3_s);
  CHECK(Count(order_kind::leave) > 0);
  CHECK(rig.engines.broken.empty());
}

TEST(group_controller, JoinThatLandsLateDoesNotUndoANewerGroup)
{
  rig.Fill(1, 10);
  rig.leader.StartLeading({ 1 }, rig.now);
  rig.holds = true;
  rig.Run(2_s);
  rig.holds = false;
  rig.Run(60_s);
  const std::size_t open = rig.engines.OpenGroups();
  CHECK(open > 0);
  rig.Land();
  rig.Run(5_s);
  CHECK(rig.engines.broken.empty());
  CHECK(rig.engines.OpenGroups() >= open - 1);
}

TEST(group_controller, NextLeaderKeepsTheGroupsThatServe)
{
  Start(2, 10);
  const std::size_t open = rig.engines.OpenGroups();
  rig.leader.StopLeading();
  group_controller next(rig.engines.service, assembly_options{});
  next.StartLeading({ 2 }, rig.now);
  rig.given.clear();
  for (int i = 0; i < 100; ++i) {
    rig.now = rig.now + 50_ms;
    rig.Step(next);
  }
  UNSIGNED_LONGS_EQUAL(open, rig.engines.OpenGroups());
  UNSIGNED_LONGS_EQUAL(0, Count(order_kind::leave));
}

TEST(group_controller, LeaderThatSeesNobodyGivesNoOrders)
{
  Start(2, 10);
  for (auto& [id, one] : rig.engines.hosts) {
    one.reachable = false;
  }
  rig.given.clear();
  rig.Run(5_s);
  UNSIGNED_LONGS_EQUAL(0, rig.given.size());
}

TEST(group_controller, LeavingMemberClosesItsGroupBeforeOthersJoinElsewhere)
{
  Start(1, 10);
  rig.Member(false)->self.draining = true;
  rig.given.clear();
  rig.Run(3_s);
  CHECK(Count(order_kind::close) > 0);
  CHECK(rig.engines.broken.empty());
}

TEST(group_controller, OnceCallersComeLoadsKeepToTheRate)
{
  rig.Fill(4, 10);
  rig.leader.SetDemand({ { { "quad" }, 1 }, { { "pair" }, 1 } });
  rig.leader.StartLeading({ 1 }, rig.now);
  rig.Run(20_s);
  const std::vector<time_point>& loads = rig.engines.loads;
  UNSIGNED_LONGS_EQUAL(40, loads.size());
  for (const time_point start : loads) {
    const auto within = std::count_if(loads.begin(), loads.end(), [start](time_point aAt) {
      return aAt >= start && aAt < start + 5_s;
    });
    CHECK(static_cast<double>(within) <= 5 * 5 * 1.1 + 3);
  }
}

TEST(group_controller, QuestionsToALargeFleetKeepToARate)
{
  constexpr std::size_t kInstances = 540;
  Start(30, kInstances / 30);
  rig.questions = 0;
  rig.Run(10_s);
  // The instances without a group are asked as often as in a small fleet.
  const double idle = static_cast<double>(kInstances - rig.engines.Members()) * 1000 / 450;
  CHECK(static_cast<double>(rig.questions) / 10 < 1.6 * (300 + idle));
  CHECK(rig.questions > kInstances * 5);
}

TEST(group_controller, LoadsThatCompleteAGroupComeFirst)
{
  // The domains hold quads, pairs and quads.
  Start(3, 10);
  rig.leader.SetDemand({ { { "quad" }, 1 }, { { "pair" }, 1 } });
  std::size_t lost = 0;
  for (auto& [id, one] : rig.engines.hosts) {
    const auto& member = one.self.membership;
    const bool spareOrTail = !member || member->rank == 3;
    if (one.self.domain.value == "d2" && spareOrTail && lost < 3) {
      one.alive = false;
      ++lost;
    }
  }
  rig.Run(4_s);
  rig.given.clear();
  for (const char* id : { "a-1", "a-2", "a-3", "a-4", "a-5" }) {
    rig.engines.Add(id, "d1");
  }
  // One instance completes a quad, where two are loaded for a pair.
  rig.engines.Add("z", "d2");
  rig.Run(3_s);
  const auto first =
    std::find_if(rig.given.begin(), rig.given.end(), [](const engine_order& aCandidate) {
      return aCandidate.kind == order_kind::stage;
    });
  CHECK(first != rig.given.end());
  STRCMP_EQUAL("z", first->instance.value.c_str());
}

TEST(group_controller, LargeGroupsGetASpareBeforeSmallOnesAreLoadedWhole)
{
  // The domains hold quads and pairs; the quads' has no spare left.
  Start(2, 10);
  rig.leader.SetDemand({ { { "quad" }, 1 }, { { "pair" }, 1 } });
  for (auto& [id, one] : rig.engines.hosts) {
    one.alive = one.self.domain.value != "d0" || one.self.membership.has_value();
  }
  rig.Run(4_s);
  rig.given.clear();
  rig.engines.Add("z", "d0");
  for (const char* id : { "a-1", "a-2", "a-3", "a-4", "a-5", "a-6" }) {
    rig.engines.Add(id, "d1");
  }
  rig.Run(3_s);
  const auto first =
    std::find_if(rig.given.begin(), rig.given.end(), [](const engine_order& aCandidate) {
      return aCandidate.kind == order_kind::stage;
    });
  CHECK(first != rig.given.end());
  STRCMP_EQUAL("z", first->instance.value.c_str());
}
