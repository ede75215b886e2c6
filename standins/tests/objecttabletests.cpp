#include "standins/platform/lagginglist.h"
#include "standins/platform/objecttable.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::standins;

namespace {

const platform::object_key kKey{ "service", "a" };
constexpr std::size_t kKeptChanges = 3;

platform::listed_instance
Instance(const instance_id& aName, std::uint64_t aLife, bool aLeaving)
{
  platform::listed_instance instance;
  instance.id = aName;
  instance.incarnation.value = aLife;
  instance.leaving = aLeaving;
  return instance;
}

} // namespace

// clang-format off
TEST_GROUP(object_table)
{
  object_table table{ kKeptChanges };
};
TEST_GROUP(lagging_list)
{
  lagging_list list{ 100_ms };
};
// clang-format on

TEST(object_table, AcceptsAWriteOnlyWhenItsConditionHolds)
{
  CHECK(table.Put(kKey, "one", { revision{ 5 } }).outcome == write_outcome::conflict);
  const write_result first = table.Put(kKey, "one", {});
  CHECK(first.outcome == write_outcome::created);
  CHECK(table.Put(kKey, "two", {}).outcome == write_outcome::conflict);
  CHECK(table.Put(kKey, "two", { first.version }).outcome == write_outcome::replaced);
  CHECK(table.Put(kKey, "three", { first.version }).outcome == write_outcome::conflict);
  STRCMP_EQUAL("two", table.Get(kKey)->value.c_str());
}

TEST(object_table, RecreationHasAHigherRevisionThanTheDeletion)
{
  const revision first = table.Put(kKey, "one", {}).version;
  const revision deleted = table.Delete(kKey, first).version;
  const revision again = table.Put(kKey, "one", {}).version;
  CHECK(first < deleted && deleted < again);
}

TEST(object_table, WatchFromACompactedRevisionIsRefused)
{
  revision last;
  for (std::size_t i = 0; i < kKeptChanges + 1; ++i) {
    last = table.Put({ "service", std::string(i + 1, 'n') }, "", {}).version;
  }
  CHECK_FALSE(table.ChangesAfter({ "service" }, {}).has_value());
  CHECK_EQUAL(kKeptChanges, table.ChangesAfter({ "service" }, revision{ 1 })->changes.size());
  CHECK(table.ChangesAfter({ "lease" }, revision{ 1 })->changes.empty());
  CHECK(table.ChangesAfter({ "service" }, last)->changes.empty());
}

TEST(lagging_list, ShowsEachChangeOnlyAfterTheLag)
{
  list.Add(Instance({ "i" }, 1, false), { 0 });
  list.Remove({ "i" }, { 50 });
  CHECK(list.Visible({ 99 }).empty());
  CHECK_EQUAL(1, list.Visible({ 100 }).size());
  CHECK(list.Visible({ 150 }).empty());
}

TEST(lagging_list, TellsOfALeavingMarkOnceInALife)
{
  CHECK_FALSE(list.Add(Instance({ "i" }, 1, false), { 0 }));
  CHECK(list.Add(Instance({ "i" }, 1, true), { 1 }));
  CHECK_FALSE(list.Add(Instance({ "i" }, 1, true), { 2 }));
  CHECK(list.Add(Instance({ "i" }, 2, true), { 3 }));
}
