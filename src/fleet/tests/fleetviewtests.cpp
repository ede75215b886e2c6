#include "fleet/fleetview.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::fleet;

namespace {

routes::service_profile
PairService()
{
  routes::service_profile service;
  service.name = { "llm" };
  service.engine.emplace();
  service.engine->models = { { { "pair" }, 2, 1, 1, 12_s, 1_s } };
  return service;
}

instance
Member(const std::string& aId, std::size_t aRank, std::uint64_t aEpoch, member_phase aPhase)
{
  instance made;
  made.id = { aId };
  made.service = { "llm" };
  made.model = { "pair" };
  made.life = { 5 };
  made.member = membership{ { "g" }, { aEpoch }, aRank, aPhase };
  return made;
}

} // namespace

// clang-format off
TEST_GROUP(fleet_view)
{
  routes::service_profile service = PairService();
  fleet_view view;
};
// clang-format on

TEST(fleet_view, GroupWithAllRanksServesWhenItsHeadIsOpen)
{
  view.Reset({ Member("b", 1, 3, member_phase::ready), Member("a", 0, 3, member_phase::open) });
  const auto groups = view.Groups(service);
  UNSIGNED_LONGS_EQUAL(1, groups.size());
  CHECK(groups[0].Serves());
  STRCMP_EQUAL("a", groups[0].Head().value.c_str());
}

TEST(fleet_view, MissingMemberMakesTheGroupIncomplete)
{
  view.Reset({ Member("a", 0, 3, member_phase::open) });
  CHECK_FALSE(view.Groups(service)[0].Serves());
}

TEST(fleet_view, MemberOfAnotherEpochDoesNotCount)
{
  view.Reset({ Member("a", 0, 3, member_phase::open), Member("b", 1, 2, member_phase::ready) });
  for (const engine_group& group : view.Groups(service)) {
    CHECK_FALSE(group.Serves());
  }
}

TEST(fleet_view, RankTakenTwiceIsNotWhole)
{
  view.Reset({ Member("a", 0, 3, member_phase::open),
               Member("b", 1, 3, member_phase::ready),
               Member("c", 1, 3, member_phase::ready) });
  CHECK_FALSE(view.Groups(service)[0].Serves());
}

TEST(fleet_view, DrainingMemberTakesTheGroupOut)
{
  instance leaving = Member("b", 1, 3, member_phase::ready);
  leaving.draining = true;
  view.Reset({ Member("a", 0, 3, member_phase::open), leaving });
  CHECK_FALSE(view.Groups(service)[0].Serves());
}

TEST(fleet_view, OlderReportDoesNotUndoANewerEntry)
{
  instance known = Member("a", 0, 3, member_phase::open);
  known.orders = 4;
  view.Put(known);
  engine_report old;
  old.life = { 5 };
  old.orders = 3;
  view.Apply({ "a" }, old);
  CHECK(view.Find({ "a" })->member.has_value());
  old.orders = 5;
  view.Apply({ "a" }, old);
  CHECK_FALSE(view.Find({ "a" })->member.has_value());
}

TEST(fleet_view, ReportOfALaterLifeCounts)
{
  view.Put(Member("a", 0, 3, member_phase::open));
  engine_report later;
  later.life = { 6 };
  view.Apply({ "a" }, later);
  UNSIGNED_LONGS_EQUAL(6, view.Find({ "a" })->life.value);
  CHECK_FALSE(view.Find({ "a" })->member.has_value());
}
