#include "assembly/tests/mocks/lateness.h"
#include "assembly/tests/mocks/twoleaderfixture.h"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace persimmon;
using namespace persimmon::assembly;

namespace {

/// When things happen in a play of a group whose head is cut off while the group forms.
struct cut_times
{
  /// From the late order of the former leader to the change of the leader.
  duration changedAfter;
  /// From there to the end of the cut.
  duration healedAfter;
  /// How late the order is carried out.
  duration lateness;
};

} // namespace

// Each test has orders of a former leader that are carried out at members of a group that the next
// leader has taken over.
// clang-format off
TEST_GROUP(hand_over)
{
  two_leader_fixture fixture;
  /// The group whose head is cut off, its head and its other member.
  group_id group;
  instance_id head;
  instance_id member;

  /// Leaves one model with groups of two, and engines that check tokens or don't.
  void UsePairs(bool aEnforcesTokens)
  {
    fixture.simulator.enforcesTokens = aEnforcesTokens;
    auto& models = fixture.simulator.service.engine->models;
    models.erase(models.begin());
    fixture.controller.Configure(fixture.simulator.service);
    fixture.other.Configure(fixture.simulator.service);
  }

  void Start(std::size_t aDomains, std::size_t aInstances)
  {
    fixture.AddInstances(aDomains, aInstances);
    fixture.controller.StartLeading({ fixture.token }, fixture.now);
  }

  /// Runs until a condition holds, for 20 s at the most. Returns whether it held.
  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    for (int step = 0; step < 400 && !aCondition(); ++step) {
      fixture.RunCurrent(50_ms);
    }
    return aCondition();
  }

  /// Cuts an instance off, so that its entry lapses too, or ends the cut.
  static void SetCut(engine_simulator::engine& aEngine, bool aIsCut)
  {
    aEngine.reachable = !aIsCut;
    aEngine.acceptsConnections = !aIsCut;
    aEngine.registered = !aIsCut;
  }

  /// Returns the head of a group that is being formed; nullptr when there is none.
  engine_simulator::engine* FormingHead()
  {
    for (auto& [id, engine] : fixture.simulator.engines) {
      const auto& membership = engine.entry.membership;
      if (membership && membership->rank == 0 && membership->phase == fleet::member_phase::joining) {
        return &engine;
      }
    }
    return nullptr;
  }

  /// Lets the first order of a kind that a condition selects be late, and returns whether it was sent.
  template<typename Condition>
  std::shared_ptr<bool> DelayFirst(duration aLateness, Condition aCondition)
  {
    auto wasSent = std::make_shared<bool>(false);
    fixture.lateness = [=](const engine_order& aOrder) {
      const bool isFirst = !*wasSent && aCondition(aOrder);
      *wasSent = *wasSent || isFirst;
      return isFirst ? std::optional(aLateness) : std::nullopt;
    };
    return wasSent;
  }

  /// Cuts the head of a group that is being formed off, and waits until the first order that a
  /// condition selects is sent; it is late. Then another process takes the lease over, and the cut
  /// ends. The condition gets the order, the group and the other member.
  template<typename Condition>
  void CutWhileForming(const cut_times& aTimes, Condition aCondition)
  {
    CHECK(RunUntil([this] { return FormingHead() != nullptr; }));
    engine_simulator::engine& cut = *FormingHead();
    head = cut.entry.id;
    member = cut.members.back();
    group = cut.entry.membership->group;
    const auto wasSent = DelayFirst(aTimes.lateness, [=, this](const engine_order& aOrder) {
      return aOrder.instance == member && aCondition(aOrder);
    });
    SetCut(cut, true);
    RunUntil([&] { return *wasSent; });
    fixture.RunCurrent(aTimes.changedAfter);
    fixture.ChangeLeader();
    fixture.RunCurrent(aTimes.healedAfter);
    SetCut(cut, false);
  }

  /// As CutWhileForming, for the order to the other member to join another group.
  void PlayLateJoin(const cut_times& aTimes, bool aEnforcesTokens)
  {
    fixture = {};
    UsePairs(aEnforcesTokens);
    Start(1, 5);
    CutWhileForming(aTimes, [this](const engine_order& aOrder) {
      return aOrder.kind == order_kind::join && aOrder.group != group;
    });
    fixture.RunCurrent(16_s);
    CheckNoViolation();
  }

  /// Starts a group whose leader is followed by another one once all its members are ready.
  void HandOverWhenReady(std::size_t aInstances)
  {
    Start(1, aInstances);
    CHECK(RunUntil([this] { return IsOrdered(order_kind::join); }));
    fixture.RunCurrent(1_s);
    fixture.sentOrders.clear();
    fixture.ChangeLeader();
  }

  /// Returns whether an order of a kind was sent.
  [[nodiscard]] bool IsOrdered(order_kind aKind) const { return CountOrders(aKind) > 0; }

  [[nodiscard]] long CountOrders(order_kind aKind) const
  {
    const auto& sent = fixture.sentOrders;
    return std::count_if(sent.begin(), sent.end(), [=](const engine_order& aOrder) { return aOrder.kind == aKind; });
  }

  /// Returns whether an instance is in a group.
  bool IsInGroup(const instance_id& aInstance, const group_id& aGroup)
  {
    const auto& membership = fixture.simulator.engines.at(aInstance).entry.membership;
    return membership && membership->group == aGroup;
  }

  void CheckNoViolation()
  {
    STRCMP_EQUAL("", fixture.simulator.violations.empty() ? "" : fixture.simulator.violations.front().c_str());
  }

  /// Adds an instance to one of two domains.
  void AddInstance(random_source& aRandom)
  {
    const std::string number = std::to_string(fixture.simulator.engines.size());
    fixture.simulator.Add("new-" + number, aRandom.Below(2) == 0 ? "d0" : "d1");
  }

  /// An instance leaves as planned, ends, or is cut off for a while, the head of a group that is
  /// being formed more often than others; or its entry lapses.
  void Disturb(random_source& aRandom)
  {
    engine_simulator::engine* forming = aRandom.Below(2) == 0 ? FormingHead() : nullptr;
    engine_simulator::engine& target =
      forming == nullptr ? fixture.Select(static_cast<unsigned>(aRandom.Below(1000))) : *forming;
    switch (aRandom.Below(10)) {
      case 0:
        target.entry.draining = true;
        AddInstance(aRandom);
        break;
      case 1:
        target.alive = false;
        target.registered = false;
        AddInstance(aRandom);
        break;
      case 2:
        target.registered = !target.registered;
        break;
      default:
        SetCut(target, target.reachable);
    }
  }

  /// Plays random cuts, losses and planned ends beside late orders, reports that lag behind, and
  /// leaders that follow one another, the former of which may act once more.
  void PlayHandOvers(std::uint64_t aSeed)
  {
    random_source random(aSeed);
    fixture = {};
    UsePairs(aSeed % 2 == 0);
    fixture.simulator.reportLag = duration{ 50 * static_cast<std::int64_t>(random.Below(10)) };
    fixture.lateness = [&random](const engine_order&) { return DrawLateness(random); };
    Start(2, 7);
    for (int round = 0; round < 60; ++round) {
      fixture.RunCurrent(duration{ 50 + 50 * static_cast<std::int64_t>(random.Below(30)) });
      if (random.Below(2) == 0) {
        Disturb(random);
      }
      if (random.Below(6) == 0) {
        AddInstance(random);
      }
      if (random.Below(6) == 0) {
        fixture.ChangeLeader();
      }
      if (random.Below(4) == 0) {
        fixture.Step(fixture.Former());
      }
    }
    fixture.lateness = {};
  }
};
// clang-format on

// Guards against a member of a group that the next leader adopts while it forms, and opens: a late
// order of the former leader, which had given the group up, made it join another one.
TEST(hand_over, MemberOfAGroupThatIsAdoptedAndOpenedTakesNoLateOrderToJoinAnother)
{
  for (const duration changedAfter : { 0_ms, 200_ms, 600_ms }) {
    for (const duration healedAfter : { 0_ms, 300_ms, 1500_ms }) {
      for (const duration lateness : { 2_s, 5_s, 12_s }) {
        PlayLateJoin({ changedAfter, healedAfter, lateness }, true);
        PlayLateJoin({ changedAfter, healedAfter, lateness }, false);
      }
    }
  }
}

// Guards against a member that a late order of the former leader takes out of a group that the next
// leader has adopted and opened, where engines check tokens.
TEST(hand_over, LateOrderToLeaveTakesNoMemberOfAGroupThatIsAdoptedAndOpened)
{
  UsePairs(true);
  Start(1, 5);
  CutWhileForming({ 0_ms, 0_ms, 5_s },
                  [](const engine_order& aOrder) { return aOrder.kind == order_kind::leave; });
  fixture.RunCurrent(16_s);
  CHECK(IsInGroup(head, group));
  CHECK(IsInGroup(member, group));
  LONGS_EQUAL(static_cast<int>(fleet::member_phase::open),
              static_cast<int>(fixture.simulator.engines.at(head).entry.membership->phase));
  CheckNoViolation();
}

// Guards against a hand-over that costs more than one order to each member but the head, beside the
// order to open, and more than one exchange.
TEST(hand_over, GroupThatIsAdoptedWhileItFormsIsOpenedAfterOneOrderToEachMember)
{
  HandOverWhenReady(4);
  CHECK(RunUntil([this] { return IsOrdered(order_kind::open); }));
  LONGS_EQUAL(3, CountOrders(order_kind::join));
  fixture.RunCurrent(1_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  UNSIGNED_LONGS_EQUAL(4, fixture.sentOrders.size());
}

// Guards against a group that is opened while a member has not answered the leader that adopted it,
// and against one that waits for an answer that is lost.
TEST(hand_over, GroupIsOpenedOnceAConfirmationThatWasLostIsAnswered)
{
  HandOverWhenReady(4);
  int lost = 0;
  fixture.lateness = [&lost](const engine_order& aOrder) {
    const bool isLost = aOrder.kind == order_kind::join && lost < 2;
    lost += isLost ? 1 : 0;
    return isLost ? std::optional(12_s) : std::nullopt;
  };
  fixture.RunCurrent(300_ms);
  LONGS_EQUAL(3, CountOrders(order_kind::join));
  LONGS_EQUAL(0, CountOrders(order_kind::open));
  fixture.RunCurrent(500_ms);
  LONGS_EQUAL(5, CountOrders(order_kind::join));
  LONGS_EQUAL(1, CountOrders(order_kind::open));
  fixture.RunCurrent(16_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  CheckNoViolation();
}

// Guards against a group that waits without an end for a member which answers no order.
TEST(hand_over, GroupOfAMemberThatNeverConfirmsIsGivenUp)
{
  HandOverWhenReady(4);
  fixture.lateness = [](const engine_order& aOrder) {
    return aOrder.kind == order_kind::join ? std::optional(60_s) : std::nullopt;
  };
  fixture.RunCurrent(7_s);
  LONGS_EQUAL(0, CountOrders(order_kind::open));
  LONGS_EQUAL(1, CountOrders(order_kind::leave));
}

// Guards against a member that is ordered to join another group while it is in one that its leader
// has given up: where engines check no tokens, nothing else shuts a late order out.
TEST(hand_over, MembersLeaveAGroupThatWasGivenUpBeforeTheyJoinAnother)
{
  UsePairs(false);
  Start(1, 5);
  CHECK(RunUntil([this] { return FormingHead() != nullptr; }));
  SetCut(*FormingHead(), true);
  fixture.RunCurrent(10_s);
  UNSIGNED_LONGS_EQUAL(2, fixture.simulator.CountOpenGroups());
  UNSIGNED_LONGS_EQUAL(0, fixture.simulator.joinsBesideAHead);
}

// Guards against any order of a former leader that takes effect after decisions of the next one,
// beside instances that are cut off while their groups form.
TEST(hand_over, NoOrderOfAFormerLeaderTakesAMemberOfAServingGroup)
{
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    PlayHandOvers(seed);
    CheckNoViolation();
    UNSIGNED_LONGS_EQUAL(0, fixture.simulator.joinsBesideAHead);
  }
}
