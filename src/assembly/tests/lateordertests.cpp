#include "assembly/tests/mocks/controllerfixture.h"
#include "assembly/tests/mocks/lateness.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::assembly;

// Each test has orders that get no answer and are carried out seconds later, after newer ones.
// clang-format off
TEST_GROUP(late_orders)
{
  controller_fixture fixture;
  std::uint64_t token = 1;
  std::size_t added = 0;

  void Start(std::size_t aDomains, std::size_t aInstances)
  {
    fixture.AddInstances(aDomains, aInstances);
    fixture.controller.StartLeading({ token }, fixture.now);
  }

  /// Lets the first order of a kind be late; its repetitions are answered.
  void DelayFirst(order_kind aKind, duration aLateness)
  {
    fixture.lateness = [aKind, aLateness, done = false](const engine_order& aOrder) mutable {
      const bool isFirst = aOrder.kind == aKind && !done;
      done = done || isFirst;
      return isFirst ? std::optional(aLateness) : std::nullopt;
    };
  }

  /// The same for the first orders to join and to open.
  void DelayFirstJoinAndOpen(duration aLateness)
  {
    DelayFirst(order_kind::join, aLateness);
    const auto delayJoin = fixture.lateness;
    DelayFirst(order_kind::open, aLateness);
    fixture.lateness = [delayJoin, delayOpen = fixture.lateness](const engine_order& aOrder) {
      return aOrder.kind == order_kind::join ? delayJoin(aOrder) : delayOpen(aOrder);
    };
  }

  void CheckNoViolation()
  {
    STRCMP_EQUAL("", fixture.simulator.violations.empty() ? "" : fixture.simulator.violations.front().c_str());
  }

  /// A member of a group leaves as planned, or ends, or its entry lapses for a while.
  void Disturb(random_source& aRandom)
  {
    engine_simulator::engine* member = fixture.FindMember(aRandom.Below(2) == 0);
    if (member == nullptr) {
      return;
    }
    switch (aRandom.Below(4)) {
      case 0:
        member->entry.draining = true;
        break;
      case 1:
        member->alive = false;
        member->registered = false;
        break;
      case 2:
        fixture.simulator.Restart(*member);
        break;
      default:
        member->registered = !member->registered;
    }
    fixture.simulator.Add("new-" + std::to_string(++added), "d0");
  }

  /// The entries of instances lapse, and all but some come back later.
  void Lapse(const std::vector<engine_simulator::engine*>& aEngines, random_source& aRandom)
  {
    const bool isCut = aRandom.Below(2) == 0;
    for (engine_simulator::engine* engine : aEngines) {
      engine->registered = false;
      engine->reachable = !isCut;
    }
    fixture.RunFor(duration{ 2000 + 1000 * static_cast<std::int64_t>(aRandom.Below(40)) });
    for (engine_simulator::engine* engine : aEngines) {
      const bool isBack = aRandom.Below(4) != 0;
      engine->registered = isBack;
      engine->reachable = engine->reachable || isBack;
    }
  }

  /// Plays random late orders beside reports that lag behind, instances that come and go, domains
  /// whose entries lapse, and leaders that succeed one another.
  void PlayBesideLapses(std::uint64_t aSeed)
  {
    random_source random(aSeed);
    fixture = {};
    fixture.simulator.reportLag = duration{ 50 * static_cast<std::int64_t>(random.Below(14)) };
    fixture.lateness = [&random](const engine_order&) { return DrawLateness(random); };
    Start(2, 8);
    for (int round = 0; round < 16; ++round) {
      fixture.RunFor(3_s);
      Disturb(random);
      if (random.Below(4) == 0) {
        Lapse(MembersOfDomain(random.Below(2) == 0 ? "d0" : "d1"), random);
      }
      if (random.Below(6) == 0) {
        TakeOver();
      }
    }
    fixture.lateness = {};
  }

  /// Returns the instances of a domain.
  std::vector<engine_simulator::engine*> MembersOfDomain(const std::string& aDomain)
  {
    std::vector<engine_simulator::engine*> found;
    for (auto& [id, engine] : fixture.simulator.engines) {
      if (engine.entry.domain.value == aDomain) {
        found.push_back(&engine);
      }
    }
    return found;
  }

  /// Another process takes the lease over; orders of the former one are on their way still.
  void TakeOver()
  {
    fixture.controller.StartLeading({ ++token }, fixture.now);
  }
};
// clang-format on

// Guards against the head of a closed group that serves again by a late order to open, while the
// other members are ordered to join the next group.
TEST(late_orders, HeadOfAClosedGroupDoesNotServeAgain)
{
  DelayFirst(order_kind::open, 9_s);
  fixture.simulator.service.engine->models.resize(1);
  fixture.controller.Configure(fixture.simulator.service);
  Start(1, 4);
  fixture.RunFor(6_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  fixture.FindMember(false)->entry.draining = true;
  fixture.RunFor(8_s);
  UNSIGNED_LONGS_EQUAL(0, fixture.simulator.CountOpenGroups());
  fixture.simulator.Add("h-new", "d0");
  fixture.RunFor(30_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  CheckNoViolation();
}

// Guards against an instance that joins a group again which it has left, by a late order.
TEST(late_orders, OrderToJoinDoesNotBringALeftMemberBack)
{
  Start(1, 4);
  fixture.RunFor(8_s);
  engine_simulator::engine& member = *fixture.FindMember(false);
  const auto joined =
    std::find_if(fixture.sentOrders.begin(), fixture.sentOrders.end(), [&](const auto& aOrder) {
      return aOrder.kind == order_kind::join && aOrder.instance == member.entry.id;
    });
  CHECK(joined != fixture.sentOrders.end());
  const engine_order late = *joined;
  member.entry.membership.reset();
  ++member.entry.acceptedOrders;
  LONGS_EQUAL(static_cast<int>(order_outcome::conflict),
              static_cast<int>(fixture.simulator.Execute(member, late, fixture.now)));
  CHECK(!member.entry.membership);
}

// Guards against an order that is repeated as it was after its instance has accepted another one:
// the next one names the number that the instance has reported since.
TEST(late_orders, RejectedOrderIsDecidedAgain)
{
  Start(1, 4);
  for (auto& [id, engine] : fixture.simulator.engines) {
    engine.dropsReplies = true;
  }
  fixture.RunFor(8_s);
  CHECK(fixture.simulator.CountOpenGroups() > 0);
  CheckNoViolation();
}

// Guards against a head that serves its ended group, however it came to do so, and whose members
// are ordered to join others.
TEST(late_orders, HeadThatServesItsEndedGroupHasToLeave)
{
  fixture.simulator.service.engine->models.resize(1);
  fixture.controller.Configure(fixture.simulator.service);
  Start(1, 4);
  fixture.RunFor(6_s);
  engine_simulator::engine& head = *fixture.FindMember(true);
  const auto membership = head.entry.membership;
  fixture.FindMember(false)->entry.draining = true;
  fixture.RunFor(4_s);
  head.entry.membership = membership;
  fixture.RunFor(1_s);
  fixture.simulator.Add("h-new", "d0");
  fixture.RunFor(30_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  CheckNoViolation();
}

// Guards against an order that is rejected since it does not count the leaving before it, which
// takes effect at once and is answered as done: each such order cost another 400 ms and a report.
TEST(late_orders, OrderAfterALeaveCountsIt)
{
  fixture.simulator.reportLag = 300_ms;
  fixture.simulator.service.engine->models.resize(1);
  fixture.controller.Configure(fixture.simulator.service);
  Start(1, 4);
  fixture.RunFor(6_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  // A spare instance holds the weights, so that the members join again at once.
  fixture.simulator.Add("h-new", "d0");
  fixture.RunFor(5_s);
  fixture.FindMember(false)->entry.draining = true;
  fixture.RunFor(5_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  UNSIGNED_LONGS_EQUAL(0, fixture.conflictCount);
}

// Guards against an instance that is never chosen again since it has accepted fewer orders than was
// believed: what it reports after a rejection counts.
TEST(late_orders, InstanceWhoseLeaveDidNotCountIsUsedAgain)
{
  fixture.simulator.service.engine->models.resize(1);
  fixture.controller.Configure(fixture.simulator.service);
  Start(1, 4);
  fixture.RunFor(6_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  engine_simulator::engine& head = *fixture.FindMember(true);
  fixture.FindMember(false)->entry.draining = true;
  for (int step = 0; step < 100 && head.entry.membership; ++step) {
    fixture.RunFor(50_ms);
  }
  CHECK(!head.entry.membership);
  --head.entry.acceptedOrders;
  fixture.simulator.Add("h-new", "d0");
  fixture.RunFor(10_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
}

// Guards against an order to open that is repeated while the head opens as it was told, and while
// its report lags behind.
TEST(late_orders, HeadThatOpensIsNotOrderedToOpenAgain)
{
  fixture.simulator.reportLag = 300_ms;
  fixture.simulator.service.engine->models.resize(1);
  fixture.controller.Configure(fixture.simulator.service);
  Start(1, 4);
  fixture.RunFor(6_s);
  UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
  const auto isOpen = [](const engine_order& aOrder) { return aOrder.kind == order_kind::open; };
  LONGS_EQUAL(1, std::count_if(fixture.sentOrders.begin(), fixture.sentOrders.end(), isOpen));
}

// Guards against a longer way to a group: with all orders answered, the groups serve as soon as
// before. A load before the first call takes 1.2 s here, the opening 0.3 s.
TEST(late_orders, GroupsServeWithoutFurtherExchanges)
{
  Start(1, 4);
  fixture.RunFor(4_s);
  CHECK(fixture.simulator.CountOpenGroups() > 0);
}

// Guards against any order that is carried out late and once more, beside members that leave, end
// and restart, and leaders that succeed one another, with engines that check tokens and without.
TEST(late_orders, NoOrderOfAnyKindTakesEffectAfterNewerDecisions)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    random_source random(seed);
    fixture = {};
    fixture.simulator.enforcesTokens = seed % 2 == 0;
    fixture.lateness = [&random](const engine_order&) { return DrawLateness(random); };
    Start(2, 8);
    for (int round = 0; round < 12; ++round) {
      fixture.RunFor(4_s);
      // A late order may be carried out once more.
      if (!fixture.lateOrders.empty()) {
        fixture.lateOrders.push_back(fixture.lateOrders.front());
        fixture.lateOrders.back().due = fixture.now + 5_s;
      }
      Disturb(random);
      if (round % 4 == 3) {
        TakeOver();
      }
    }
    CheckNoViolation();
  }
}

// Guards against members of a group whose entries all lapsed that are ordered to join others when
// they are back, while its head, which nobody has asked to leave, serves still.
TEST(late_orders, MembersOfALapsedGroupAreBoundUntilItsHeadHasLeft)
{
  fixture.simulator.service.engine->models.resize(1);
  fixture.controller.Configure(fixture.simulator.service);
  Start(3, 4);
  fixture.RunFor(8_s);
  UNSIGNED_LONGS_EQUAL(3, fixture.simulator.CountOpenGroups());
  const std::vector<engine_simulator::engine*> lapsed = MembersOfDomain("d0");
  for (engine_simulator::engine* engine : lapsed) {
    engine->registered = false;
    engine->reachable = false;
  }
  fixture.RunFor(60_s);
  for (engine_simulator::engine* engine : lapsed) {
    const bool isHead = engine->entry.membership && engine->entry.membership->rank == 0;
    engine->registered = !isHead;
    engine->reachable = !isHead;
  }
  fixture.simulator.Add("h0-new", "d0");
  fixture.RunFor(30_s);
  CheckNoViolation();
}

// Guards against a head that restarts and by two late orders, to join and to open, serves the group
// again that ended with its former life, while its members are ordered to join the next one.
TEST(late_orders, RestartedHeadDoesNotServeItsFormerGroup)
{
  for (duration added{ 0 }; added < 4_s; added = added + 50_ms) {
    fixture = {};
    fixture.simulator.reportLag = 300_ms;
    DelayFirstJoinAndOpen(9_s);
    fixture.simulator.service.engine->models.resize(1);
    fixture.controller.Configure(fixture.simulator.service);
    Start(1, 4);
    fixture.RunFor(6_s);
    UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
    // Too few are left for the next group, so that the restarted head joins none meanwhile.
    fixture.FindMember(false)->entry.draining = true;
    fixture.simulator.Restart(*fixture.FindMember(true));
    fixture.RunFor(3_s + added);
    fixture.simulator.Add("h-new", "d0");
    fixture.RunFor(30_s);
    CheckNoViolation();
  }
}

// Guards against an instance that is ordered to join a group although a late order to its former
// life has made it a member of another one, whose head serves still.
TEST(late_orders, InstanceThatALateOrderBroughtBackIsNotOrderedToJoinAnotherGroup)
{
  for (duration restarted{ 0 }; restarted < 4_s; restarted = restarted + 50_ms) {
    fixture = {};
    fixture.simulator.reportLag = 300_ms;
    fixture.simulator.service.engine->models.resize(1);
    fixture.controller.Configure(fixture.simulator.service);
    instance_id late;
    fixture.lateness = [&late](const engine_order& aOrder) {
      const bool isLate = late.Empty() && aOrder.kind == order_kind::join &&
                          aOrder.members.front() != aOrder.instance;
      late = isLate ? aOrder.instance : late;
      return isLate ? std::optional(9_s) : std::nullopt;
    };
    Start(1, 4);
    fixture.RunFor(5_s + restarted);
    UNSIGNED_LONGS_EQUAL(1, fixture.simulator.CountOpenGroups());
    fixture.FindMember(true)->running = 1;
    fixture.simulator.Restart(fixture.simulator.engines.at(late));
    TakeOver();
    for (const char* id : { "h-new-1", "h-new-2", "h-new-3" }) {
      fixture.simulator.Add(id, "d0");
    }
    fixture.RunFor(30_s);
    CheckNoViolation();
  }
}

// As NoOrderOfAnyKindTakesEffectAfterNewerDecisions, with reports that lag behind and with domains
// whose entries all lapse for a while. Guards against members of a group that count as free
// although nothing shows that its head has left.
TEST(late_orders, NoOrderTakesEffectAfterNewerDecisionsBesideLapses)
{
  for (std::uint64_t seed = 1; seed <= 130; ++seed) {
    PlayBesideLapses(seed);
    CheckNoViolation();
  }
}

// Guards against a late order to join the next group that meets the former head, which restarted
// and was brought back by two more late orders.
TEST(late_orders, LateOrderToJoinMeetsNoFormerHeadThatWasBroughtBack)
{
  PlayBesideLapses(20250);
  CheckNoViolation();
}
