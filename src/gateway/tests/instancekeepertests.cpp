#include "gateway/instancekeeper.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

namespace {

instance_change
Entry(const std::string& aId, std::uint64_t aRevision = 1, bool aDraining = false)
{
  fleet::instance made;
  made.id = { aId };
  made.draining = aDraining;
  return { made.id, { aRevision }, made };
}

instance_change
Gone(const std::string& aId, std::uint64_t aRevision = 2)
{
  return { { aId }, { aRevision }, std::nullopt };
}

} // namespace

// clang-format off
TEST_GROUP(instance_keeper)
{
  fleet::fleet_view view;
  instance_keeper keeper{ view };
  time_point now{ 1000 };

  bool Take(const instance_change& aChange, change_source aFrom = change_source::store)
  {
    return keeper.Take(aChange, aFrom, now);
  }
  bool Has(const char* aId) { return view.Find({ aId }) != nullptr; }
};
// clang-format on

TEST(instance_keeper, RemovedEntryIsGoneAtOnceWhileTheStoreIsWell)
{
  keeper.Replace({ Entry("a"), Entry("b") }, { 1 }, now);
  CHECK(Take(Gone("a")));
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, EntryThatLapsedInAnOutageIsKeptForAShortTime)
{
  keeper.Replace({ Entry("a"), Entry("b") }, { 1 }, now);
  keeper.StoreReturned(now);
  keeper.Replace({ Entry("b") }, { 2 }, now);
  CHECK(Has("a"));
  CHECK_FALSE(keeper.Expire(now + 1_s));
  CHECK(keeper.Expire(now + 2_s));
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, EntryThatGoesSoonAfterTheReturnIsNotKeptLongerThanALeavingOneMayBe)
{
  keeper.Replace({ Entry("a") }, { 1 }, now);
  keeper.StoreReturned(now);
  now = now + 1800_ms;
  Take(Gone("a"));
  CHECK(keeper.Expire(now + 200_ms));
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, EntryThatComesBackStays)
{
  keeper.Replace({ Entry("a") }, { 1 }, now);
  keeper.StoreReturned(now);
  Take(Gone("a", 2));
  Take(Entry("a", 3));
  CHECK_FALSE(keeper.Expire(now + 10_s));
  CHECK(Has("a"));
}

TEST(instance_keeper, ListWithoutAnOutageDropsWhatIsMissing)
{
  keeper.Replace({ Entry("a"), Entry("b") }, { 1 }, now);
  keeper.Replace({ Entry("b") }, { 2 }, now);
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, LeavingInstanceIsSeenThroughAPeerWhileTheOwnStoreIsSilent)
{
  keeper.Replace({ Entry("a", 5) }, { 5 }, now);
  CHECK(Take(Entry("a", 6, true), change_source::peer));
  CHECK(view.Find({ "a" })->draining);
}

TEST(instance_keeper, LateNewsOfThePastChangesNothing)
{
  keeper.Replace({ Entry("a", 6, true) }, { 6 }, now);
  CHECK_FALSE(Take(Entry("a", 5), change_source::peer));
  CHECK_FALSE(Take(Entry("a", 5), change_source::store));
  CHECK_FALSE(Take(Entry("a", 6), change_source::peer));
  CHECK(view.Find({ "a" })->draining);
}

TEST(instance_keeper, EntryThatAPeerSaysIsGoneMayHaveLapsedWhileTheOwnStoreIsSilent)
{
  keeper.Replace({ Entry("a", 5) }, { 5 }, now);
  keeper.StoreReturned(now);
  keeper.StoreLost();
  now = now + 10_s;
  CHECK(Take(Gone("a", 6), change_source::peer));
  CHECK(Has("a"));
  CHECK_FALSE(keeper.Expire(now + 1_s));
  CHECK(keeper.Expire(now + 2_s));
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, EntryThatAPeerSaysIsGoneIsGoneWhileTheOwnStoreIsWell)
{
  keeper.Replace({ Entry("a", 5) }, { 5 }, now);
  keeper.StoreReturned(now);
  now = now + 10_s;
  CHECK(Take(Gone("a", 6), change_source::peer));
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, NewsOfAPeerNeverKeepsAnEntryLongerThanTheOwnStoreWould)
{
  keeper.Replace({ Entry("a", 5) }, { 5 }, now);
  now = now + 500_ms;
  Take(Gone("a", 6), change_source::peer);
  keeper.StoreReturned(now);
  now = now + 500_ms;
  Take(Gone("a", 6), change_source::store);
  CHECK(keeper.Expire(now + 1400_ms));
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, EntryThatAPeerSaysIsGoneSoonAfterTheReturnIsKeptFromTheReturnOn)
{
  keeper.Replace({ Entry("a", 5) }, { 5 }, now);
  keeper.StoreReturned(now);
  now = now + 1_s;
  Take(Gone("a", 6), change_source::peer);
  CHECK(Has("a"));
  Take(Gone("a", 6), change_source::store);
  CHECK(keeper.Expire(now + 900_ms));
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, OwnStoreEndsWhatAPeerSaidIsGone)
{
  keeper.Replace({ Entry("a", 5) }, { 5 }, now);
  keeper.StoreLost();
  Take(Gone("a", 6), change_source::peer);
  CHECK_FALSE(Take(Gone("a", 6), change_source::store));
  CHECK_FALSE(Has("a"));
}

TEST(instance_keeper, OlderListDoesNotDropWhatAPeerToldOf)
{
  keeper.Replace({ Entry("b", 5) }, { 5 }, now);
  Take(Entry("a", 9), change_source::peer);
  keeper.Replace({ Entry("b", 5) }, { 8 }, now);
  CHECK(Has("a"));
}

TEST(instance_keeper, ListTellsWhatIsNews)
{
  Take(Entry("a", 5), change_source::peer);
  const auto news = keeper.Replace({ Entry("a", 5), Entry("b", 4) }, { 6 }, now);
  UNSIGNED_LONGS_EQUAL(1, news.size());
  STRCMP_EQUAL("b", news.front().id.value.c_str());
}
