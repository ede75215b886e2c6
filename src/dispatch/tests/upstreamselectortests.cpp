#include "dispatch/tests/mocks/selectorfixture.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace persimmon;
using namespace persimmon::dispatch;

// clang-format off
TEST_GROUP(upstream_selector)
{
  selector_fixture fixture;
  time_point now{ 100000 };

  std::set<std::string> Chosen(selection_request aRequest)
  {
    std::set<std::string> chosen;
    for (aRequest.random = 0; aRequest.random < 50; ++aRequest.random) {
      const auto one = fixture.selector.Select(aRequest, now);
      chosen.insert(one ? one->value : "none");
    }
    return chosen;
  }
};
// clang-format on

TEST(upstream_selector, EqualGroupsAreSpread)
{
  UNSIGNED_LONGS_EQUAL(3, Chosen(fixture.PairRequest()).size());
}

TEST(upstream_selector, GroupOfAnotherModelIsNotChosen)
{
  selection_request request = fixture.PairRequest();
  request.model = { "unknown" };
  CHECK(Chosen(request) == std::set<std::string>{ "none" });
}

TEST(upstream_selector, PromptsThatWaitAtAGroupSendOthersElsewhere)
{
  fixture.selector.OnCallStarted({ "head-0" }, 4000);
  fixture.selector.OnCallStarted({ "head-1" }, 4000);
  CHECK(Chosen(fixture.PairRequest()) == std::set<std::string>{ "head-2" });
}

TEST(upstream_selector, BrokenGroupGetsNothingUntilItProvesWhole)
{
  fixture.selector.MarkBroken({ "g0" }, { 1 });
  UNSIGNED_LONGS_EQUAL(2, Chosen(fixture.PairRequest()).size());
  fixture.selector.ClearBroken({ "g0" }, { 1 });
  UNSIGNED_LONGS_EQUAL(3, Chosen(fixture.PairRequest()).size());
}

TEST(upstream_selector, MarkOfAnEndedGroupIsForgotten)
{
  fixture.selector.MarkBroken({ "g0" }, { 1 });
  fixture.selector.Fleet().Remove({ "head-0" });
  fixture.selector.Fleet().Remove({ "tail-0" });
  fixture.selector.OnFleetChanged();
  CHECK_FALSE(fixture.selector.IsBroken({ "g0" }, { 1 }));
}

TEST(upstream_selector, FailingPlainUpstreamIsAvoidedAndTriedAgainLater)
{
  for (int i = 0; i < 5; ++i) {
    fixture.selector.RecordOutcome({ "desk-0" }, false, now);
  }
  UNSIGNED_LONGS_EQUAL(0, Chosen(fixture.PlainRequest()).count("desk-0"));
  now = now + 20_s;
  UNSIGNED_LONGS_EQUAL(1, Chosen(fixture.PlainRequest()).count("desk-0"));
}

TEST(upstream_selector, ReportOfOtherRoutersCallsCounts)
{
  fixture.selector.RecordReportedLoad({ "desk-0" }, { 6, 4, 6 }, now);
  UNSIGNED_LONGS_EQUAL(0, Chosen(fixture.PlainRequest()).count("desk-0"));
  now = now + 5_s;
  UNSIGNED_LONGS_EQUAL(1, Chosen(fixture.PlainRequest()).count("desk-0"));
}

TEST(upstream_selector, GroupThatTellsToBeSlowGetsLittleUntilThatIsOld)
{
  fixture.selector.RecordReportedSlowdown({ "head-0" }, 4, now);
  UNSIGNED_LONGS_EQUAL(0, Chosen(fixture.PairRequest()).count("head-0"));
  now = now + 5_s;
  UNSIGNED_LONGS_EQUAL(1, Chosen(fixture.PairRequest()).count("head-0"));
}

TEST(upstream_selector, GroupWithoutAPlaceInTimeIsLeftOut)
{
  for (const char* head : { "head-0", "head-1", "head-2" }) {
    fixture.selector.RecordReportedLoad({ head }, { 17, 30, 17 }, now);
  }
  selection_request request = fixture.PairRequest();
  request.maxQueueWait = 150_ms;
  CHECK(Chosen(request) == std::set<std::string>{ "none" });
  fixture.selector.RecordReportedLoad({ "head-1" }, { 16, 0, 17 }, now);
  CHECK(Chosen(request) == std::set<std::string>{ "head-1" });
}

TEST(upstream_selector, NewLifeOfAnUpstreamStartsWithoutItsPast)
{
  for (int i = 0; i < 5; ++i) {
    fixture.selector.RecordOutcome({ "desk-0" }, false, now);
  }
  fleet::instance reborn = *fixture.selector.Fleet().Find({ "desk-0" });
  reborn.incarnationId = reborn.incarnationId.Next();
  fixture.selector.Fleet().Upsert(reborn);
  fixture.selector.OnFleetChanged();
  fixture.selector.RecordOutcome({ "desk-0" }, true, now);
  UNSIGNED_LONGS_EQUAL(1, Chosen(fixture.PlainRequest()).count("desk-0"));
}

TEST(upstream_selector, DrainingUpstreamGetsNothing)
{
  fleet::instance leaving = *fixture.selector.Fleet().Find({ "desk-0" });
  leaving.draining = true;
  fixture.selector.Fleet().Upsert(leaving);
  fixture.selector.OnFleetChanged();
  UNSIGNED_LONGS_EQUAL(0, Chosen(fixture.PlainRequest()).count("desk-0"));
}

TEST(upstream_selector, IsolatedCallTakesAnIdleGroupOnly)
{
  fixture.selector.OnCallStarted({ "head-0" }, 10);
  fixture.selector.OnCallStarted({ "head-1" }, 10);
  selection_request request = fixture.PairRequest();
  request.idleUpstreamOnly = true;
  CHECK(Chosen(request) == std::set<std::string>{ "head-2" });
}

TEST(upstream_selector, GroupThatLooksIdleToManyRoutersIsNotTheOnlyChoice)
{
  fixture.selector.RecordReportedLoad({ "head-0" }, { 9, 0, 17 }, now);
  fixture.selector.RecordReportedLoad({ "head-1" }, { 9, 0, 17 }, now);
  fixture.selector.RecordReportedLoad({ "head-2" }, { 0, 0, 17 }, now);
  CHECK(Chosen(fixture.PairRequest()) == std::set<std::string>{ "head-2" });
  fixture.selector.SetRouterCount(60);
  for (int i = 0; i < 40; ++i) {
    now = now + 20_ms;
    fixture.selector.RecordCall(fixture.PairRequest().service, fixture.PairRequest().model, now);
  }
  UNSIGNED_LONGS_EQUAL(3, Chosen(fixture.PairRequest()).size());
}
