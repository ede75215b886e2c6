#include "platform/confirmedput.h"

#include "platform/tests/mocks/memoryobjectstore.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::platform;

namespace {

constexpr int kTries = 3;

/// Answers the first write as if its reply had been lost.
struct lost_first_reply
{
  memory_object_store& store;
  bool first = true;
  store_failure why;

  auto Get(const object_key& aKey) { return store.Get(aKey); }
  auto List(const std::string& aKind) { return store.List(aKind); }
  auto Delete(const object_key& aKey, revision aExpected) { return store.Delete(aKey, aExpected); }
  auto Watch(const std::vector<std::string>& aKinds, revision aFrom, duration aWait)
  {
    return store.Watch(aKinds, aFrom, aWait);
  }
  std::optional<revision> Put(const object_key& aKey,
                              const std::string& aValue,
                              const write_condition& aCondition)
  {
    const auto written = store.Put(aKey, aValue, aCondition);
    why = first ? store_failure{ store_error::unknown_outcome, "" } : store.LastFailure();
    const bool lost = first;
    first = false;
    return lost ? std::nullopt : written;
  }
  [[nodiscard]] const store_failure& LastFailure() const { return why; }
};

} // namespace

// clang-format off
TEST_GROUP(put_result)
{
  memory_object_store::content content;
  memory_object_store store{ content };
  memory_object_store other{ content };
  object_key key{ "service", "a" };
};
// clang-format on

TEST(put_result, LostReplyIsFoundToHaveLanded)
{
  store.loseNextReply = true;
  const auto result = PutConfirmed(store, key, "mine", {}, kTries);
  CHECK(result.outcome == write_outcome::applied);
  CHECK(result.version == content.last);
  CHECK_EQUAL(1, content.writes);
}

TEST(put_result, DelayedWriteIsSettledBeforeItLands)
{
  store.delayNextWrite = true;
  const auto result = PutConfirmed(store, key, "mine", {}, kTries);
  CHECK(result.outcome == write_outcome::applied);
  store.ApplyDelayedWrites();
  CHECK_EQUAL(1, content.writes);
  CHECK(result.version == content.last);
}

TEST(put_result, ConflictWithAnotherValueIsLost)
{
  other.Put(key, "theirs", {});
  CHECK(PutConfirmed(store, key, "mine", {}, kTries).outcome == write_outcome::conflict);
}

TEST(put_result, LostReplyFollowedByAnotherWriteStaysUnresolved)
{
  const auto mine = store.Put(key, "base", {});
  store.loseNextReply = true;
  store.Put(key, "mine", { mine });
  other.Put(key, "theirs", { content.last });
  memory_object_store retry(content);
  lost_first_reply replay{ .store = retry, .first = true, .why = {} };
  CHECK(PutConfirmed(replay, key, "mine", { mine }, kTries).outcome == write_outcome::unresolved);
}

TEST(put_result, StoreDownFromTheStartWritesNothing)
{
  store.down = true;
  CHECK(PutConfirmed(store, key, "mine", {}, kTries).outcome == write_outcome::not_written);
}

TEST(put_result, StoreDownAfterALostReplyStaysUnresolved)
{
  memory_object_store::content unreachable;
  memory_object_store fails(unreachable);
  fails.delayNextWrite = true;
  const auto first = PutConfirmed(fails, key, "mine", {}, 1);
  CHECK(first.outcome == write_outcome::unresolved);
}
