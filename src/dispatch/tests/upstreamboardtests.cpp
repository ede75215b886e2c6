#include "dispatch/tests/mocks/boardrig.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace persimmon;
using namespace persimmon::dispatch;

// clang-format off
TEST_GROUP(upstream_board)
{
  board_rig rig;
  time_point now{ 100000 };

  std::set<std::string> Chosen(choice_request aRequest)
  {
    std::set<std::string> chosen;
    for (aRequest.draw = 0; aRequest.draw < 50; ++aRequest.draw) {
      const auto one = rig.board.Choose(aRequest, now);
      chosen.insert(one ? one->value : "none");
    }
    return chosen;
  }
};
// clang-format on

TEST(upstream_board, EqualGroupsAreSpread)
{
  UNSIGNED_LONGS_EQUAL(3, Chosen(rig.PairRequest()).size());
}

TEST(upstream_board, GroupOfAnotherModelIsNotChosen)
{
  choice_request request = rig.PairRequest();
  request.model = { "unknown" };
  CHECK(Chosen(request) == std::set<std::string>{ "none" });
}

TEST(upstream_board, PromptsThatWaitAtAGroupSendOthersElsewhere)
{
  rig.board.Started({ "head-0" }, 4000);
  rig.board.Started({ "head-1" }, 4000);
  CHECK(Chosen(rig.PairRequest()) == std::set<std::string>{ "head-2" });
}

TEST(upstream_board, BrokenGroupGetsNothingUntilItProvesWhole)
{
  rig.board.MarkBroken({ "g0" }, { 1 });
  UNSIGNED_LONGS_EQUAL(2, Chosen(rig.PairRequest()).size());
  rig.board.ClearBroken({ "g0" }, { 1 });
  UNSIGNED_LONGS_EQUAL(3, Chosen(rig.PairRequest()).size());
}

TEST(upstream_board, MarkOfAnEndedGroupIsForgotten)
{
  rig.board.MarkBroken({ "g0" }, { 1 });
  rig.board.Fleet().Remove({ "head-0" });
  rig.board.Fleet().Remove({ "tail-0" });
  rig.board.FleetChanged();
  CHECK_FALSE(rig.board.IsBroken({ "g0" }, { 1 }));
}

TEST(upstream_board, FailingPlainUpstreamIsAvoidedAndTriedAgainLater)
{
  for (int i = 0; i < 5; ++i) {
    rig.board.NoteOutcome({ "desk-0" }, false, now);
  }
  UNSIGNED_LONGS_EQUAL(0, Chosen(rig.PlainRequest()).count("desk-0"));
  now = now + 20_s;
  UNSIGNED_LONGS_EQUAL(1, Chosen(rig.PlainRequest()).count("desk-0"));
}

TEST(upstream_board, ReportOfOtherRoutersCallsCounts)
{
  rig.board.NoteLoad({ "desk-0" }, { 6, 4, 6 }, now);
  UNSIGNED_LONGS_EQUAL(0, Chosen(rig.PlainRequest()).count("desk-0"));
  now = now + 5_s;
  UNSIGNED_LONGS_EQUAL(1, Chosen(rig.PlainRequest()).count("desk-0"));
}

TEST(upstream_board, GroupThatTellsToBeSlowGetsLittleUntilThatIsOld)
{
  rig.board.NoteToldPace({ "head-0" }, 4, now);
  UNSIGNED_LONGS_EQUAL(0, Chosen(rig.PairRequest()).count("head-0"));
  now = now + 5_s;
  UNSIGNED_LONGS_EQUAL(1, Chosen(rig.PairRequest()).count("head-0"));
}

TEST(upstream_board, GroupWithoutAPlaceInTimeIsLeftOut)
{
  for (const char* head : { "head-0", "head-1", "head-2" }) {
    rig.board.NoteLoad({ head }, { 17, 30, 17 }, now);
  }
  choice_request request = rig.PairRequest();
  request.longestWait = 150_ms;
  CHECK(Chosen(request) == std::set<std::string>{ "none" });
  rig.board.NoteLoad({ "head-1" }, { 16, 0, 17 }, now);
  CHECK(Chosen(request) == std::set<std::string>{ "head-1" });
}

TEST(upstream_board, NewLifeOfAnUpstreamStartsWithoutItsPast)
{
  for (int i = 0; i < 5; ++i) {
    rig.board.NoteOutcome({ "desk-0" }, false, now);
  }
  fleet::instance reborn = *rig.board.Fleet().Find({ "desk-0" });
  reborn.life = reborn.life.Next();
  rig.board.Fleet().Put(reborn);
  rig.board.FleetChanged();
  rig.board.NoteOutcome({ "desk-0" }, true, now);
  UNSIGNED_LONGS_EQUAL(1, Chosen(rig.PlainRequest()).count("desk-0"));
}

TEST(upstream_board, DrainingUpstreamGetsNothing)
{
  fleet::instance leaving = *rig.board.Fleet().Find({ "desk-0" });
  leaving.draining = true;
  rig.board.Fleet().Put(leaving);
  rig.board.FleetChanged();
  UNSIGNED_LONGS_EQUAL(0, Chosen(rig.PlainRequest()).count("desk-0"));
}

TEST(upstream_board, IsolatedCallTakesAnIdleGroupOnly)
{
  rig.board.Started({ "head-0" }, 10);
  rig.board.Started({ "head-1" }, 10);
  choice_request request = rig.PairRequest();
  request.isolated = true;
  CHECK(Chosen(request) == std::set<std::string>{ "head-2" });
}

TEST(upstream_board, GroupThatLooksIdleToManyRoutersIsNotTheOnlyChoice)
{
  rig.board.NoteLoad({ "head-0" }, { 9, 0, 17 }, now);
  rig.board.NoteLoad({ "head-1" }, { 9, 0, 17 }, now);
  rig.board.NoteLoad({ "head-2" }, { 0, 0, 17 }, now);
  CHECK(Chosen(rig.PairRequest()) == std::set<std::string>{ "head-2" });
  rig.board.SetRouters(60);
  for (int i = 0; i < 40; ++i) {
    now = now + 20_ms;
    rig.board.NoteCall(rig.PairRequest().service, rig.PairRequest().model, now);
  }
  UNSIGNED_LONGS_EQUAL(3, Chosen(rig.PairRequest()).size());
}
