#include "gateway/instancekeeper.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

namespace {

fleet::instance
Named(const std::string& aId)
{
  fleet::instance made;
  made.id = { aId };
  return made;
}

} // namespace

// clang-format off
TEST_GROUP(instance_keeper)
{
  fleet::fleet_view view;
  instance_keeper keeper{ view };
  time_point now{ 1000 };
};
// clang-format on

TEST(instance_keeper, RemovedEntryIsGoneAtOnceWhileTheStoreIsWell)
{
  keeper.Replace({ Named("a"), Named("b") }, now);
  keeper.Remove({ "a" }, now);
  POINTERS_EQUAL(nullptr, view.Find({ "a" }));
}

TEST(instance_keeper, EntryThatLapsedInAnOutageIsKeptForAShortTime)
{
  keeper.Replace({ Named("a"), Named("b") }, now);
  keeper.StoreReturned(now);
  keeper.Replace({ Named("b") }, now);
  CHECK(view.Find({ "a" }) != nullptr);
  CHECK_FALSE(keeper.Expire(now + 1_s));
  CHECK(keeper.Expire(now + 2_s));
  POINTERS_EQUAL(nullptr, view.Find({ "a" }));
}

TEST(instance_keeper, EntryThatGoesSoonAfterTheReturnIsNotKeptLongerThanALeavingOneMayBe)
{
  keeper.Replace({ Named("a") }, now);
  keeper.StoreReturned(now);
  keeper.Remove({ "a" }, now + 1800_ms);
  CHECK(keeper.Expire(now + 2_s));
  POINTERS_EQUAL(nullptr, view.Find({ "a" }));
}

TEST(instance_keeper, EntryThatComesBackStays)
{
  keeper.Replace({ Named("a") }, now);
  keeper.StoreReturned(now);
  keeper.Remove({ "a" }, now);
  keeper.Put(Named("a"));
  CHECK_FALSE(keeper.Expire(now + 10_s));
  CHECK(view.Find({ "a" }) != nullptr);
}

TEST(instance_keeper, ListWithoutAnOutageDropsWhatIsMissing)
{
  keeper.Replace({ Named("a"), Named("b") }, now);
  keeper.Replace({ Named("b") }, now);
  POINTERS_EQUAL(nullptr, view.Find({ "a" }));
}
