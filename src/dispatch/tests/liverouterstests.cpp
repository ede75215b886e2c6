#include "dispatch/liverouters.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace persimmon;
using namespace persimmon::dispatch;

TEST_GROUP(live_routers)
{
  live_routers routers{ router_id{ "self" } };
  time_point now{ 50000 };
};

// Guards against a router that has just started and takes what all divide for its own.
TEST(live_routers, RouterSettlesSomeTimeAfterItsStart)
{
  CHECK_FALSE(routers.HasSettled(now));
  routers.SetLive({ { "self" } }, now);
  CHECK_FALSE(routers.HasSettled(now + kRouterSettleTime - 1_ms));
  CHECK(routers.HasSettled(now + kRouterSettleTime));
}

TEST(live_routers, RouterWithoutOthersNeedsNoTimeToMeetThem)
{
  routers.SetAlone();
  CHECK(routers.HasSettled(now));
  UNSIGNED_LONGS_EQUAL(1, routers.Count());
}

// Guards against a router that is cut off and takes the parts of those that it no longer reaches.
TEST(live_routers, RouterThatIsNoLongerReachedCountsForAWhile)
{
  CHECK(routers.SetLive({ { "self" }, { "other" } }, now));
  CHECK_FALSE(routers.SetLive({ { "self" } }, now + kAbsentRouterLifetime));
  UNSIGNED_LONGS_EQUAL(2, routers.Count());
  CHECK(routers.SetLive({ { "self" } }, now + kAbsentRouterLifetime + 1_ms));
  UNSIGNED_LONGS_EQUAL(1, routers.Count());
}

// Guards against routers that take the same part, or leave one to nobody.
TEST(live_routers, EachRouterHasARankOfItsOwn)
{
  const std::vector<router_id> all = { { "a" }, { "b" }, { "c" }, { "d" } };
  std::set<std::size_t> ranks;
  for (const router_id& self : all) {
    live_routers view(self);
    view.SetLive(all, now);
    ranks.insert(view.RankFor("upstream"));
  }
  CHECK(ranks == (std::set<std::size_t>{ 0, 1, 2, 3 }));
}
