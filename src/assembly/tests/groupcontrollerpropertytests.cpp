#include "assembly/tests/mocks/controllerfixture.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace persimmon;
using namespace persimmon::assembly;

namespace {

/// One thing that goes wrong, or back to normal.
enum class trouble
{
  kill,
  restart,
  cut,
  heal,
  hold_orders,
  land_orders,
  change_leader,
  old_leader_acts,
  leave,
  quiet
};

constexpr int kTroubles = 10;

/// Two leaders of which the older may wake up and act with its old token.
struct leaders_rig : assembly_rig
{
  group_controller other{ engines.service, assembly_options{} };
  bool otherLeads = false;
  std::uint64_t token = 1;

  group_controller& Current() { return otherLeads ? other : leader; }
  group_controller& Former() { return otherLeads ? leader : other; }

  engine_sim::host& Pick(unsigned aWhich)
  {
    auto it = engines.hosts.begin();
    std::advance(it, aWhich % engines.hosts.size());
    return it->second;
  }

  void Happen(trouble aWhat, unsigned aWhich)
  {
    engine_sim::host& host = Pick(aWhich);
    switch (aWhat) {
      case trouble::kill:
        host.alive = false;
        break;
      case trouble::restart:
        engines.Restart(host);
        break;
      case trouble::cut:
        host.reachable = false;
        break;
      case trouble::heal:
        host.reachable = true;
        break;
      case trouble::hold_orders:
        holds = true;
        break;
      case trouble::land_orders:
        holds = false;
        Land();
        break;
      case trouble::change_leader:
        otherLeads = !otherLeads;
        Current().StartLeading({ ++token }, now);
        break;
      case trouble::old_leader_acts:
        Step(Former());
        break;
      case trouble::leave:
        host.self.draining = true;
        break;
      case trouble::quiet:
        break;
    }
  }

  /// Two domains of six instances, whose groups serve.
  void Begin()
  {
    Fill(2, 6);
    leader.StartLeading({ 1 }, now);
    RunCurrent(6_s);
  }

  void RunCurrent(duration aSpan)
  {
    const time_point end = now + aSpan;
    while (now < end) {
      now = now + 50_ms;
      Step(Current());
    }
  }
};

/// Draws troubles, each with a number that tells what it strikes.
std::vector<std::pair<int, unsigned>>
SomeTroubles()
{
  return *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
    rc::gen::pair(rc::gen::inRange(0, kTroubles), rc::gen::arbitrary<unsigned>()));
}

} // namespace

// clang-format off
TEST_GROUP(assembly_properties)
{
};
// clang-format on

TEST(assembly_properties, NoTroubleBreaksAPromiseOfTheGroups)
{
  const bool held = rc::check("no group opens without all members, none joins two", [] {
    leaders_rig rig;
    rig.Begin();
    const auto steps = SomeTroubles();
    for (const auto& [what, which] : steps) {
      rig.Happen(static_cast<trouble>(what), which);
      rig.RunCurrent(duration{ 200 + static_cast<std::int64_t>(which % 3000) });
    }
    rig.Land();
    rig.RunCurrent(2_s);
    for (const std::string& promise : rig.engines.broken) {
      RC_FAIL(promise);
    }
  });
  CHECK(held);
}

TEST(assembly_properties, GroupsServeAgainWhenAllIsWell)
{
  const bool held = rc::check("after any trouble the groups come back", [] {
    leaders_rig rig;
    rig.Begin();
    const auto steps = SomeTroubles();
    for (const auto& [what, which] : steps) {
      rig.Happen(static_cast<trouble>(what), which);
      rig.RunCurrent(500_ms);
    }
    rig.holds = false;
    for (auto& [id, host] : rig.engines.hosts) {
      host.reachable = true;
      host.self.draining = false;
      if (!host.alive) {
        rig.engines.Restart(host);
      }
    }
    rig.RunCurrent(90_s);
    // Six instances a domain: one group of four or three pairs at least.
    RC_ASSERT(rig.engines.OpenGroups() >= 2U);
  });
  CHECK(held);
}
