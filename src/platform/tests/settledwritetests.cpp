#include "platform/settledwrite.h"

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
  store_reason why;

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
    why = first ? store_reason{ store_error::unknown_outcome, "" } : store.LastReason();
    const bool lost = first;
    first = false;
    return lost ? std::nullopt : written;
  }
  [[nodiscard]] const store_reason& LastReason() const { return why; }
};

} // namespace

// clang-format off
TEST_GROUP(settled_write)
{
  memory_object_store::content content;
  memory_object_store store{ content };
  memory_object_store other{ content };
  object_key key{ "service", "a" };
};
// clang-format on

TEST(settled_write, LostReplyIsFoundToHaveLanded)
{
  store.loseNextReply = true;
  const auto result = PutSettled(store, key, "mine", {}, kTries);
  CHECK(result.outcome == write_outcome::landed);
  CHECK(result.version == content.last);
  CHECK_EQUAL(1, content.writes);
}

TEST(settled_write, DelayedWriteIsSettledBeforeItLands)
{
  store.delayNextWrite = true;
  const auto result = PutSettled(store, key, "mine", {}, kTries);
  CHECK(result.outcome == write_outcome::landed);
  store.Land();
  CHECK_EQUAL(1, content.writes);
  CHECK(result.version == content.last);
}

TEST(settled_write, ConflictWithAnotherValueIsLost)
{
  other.Put(key, "theirs", {});
  CHECK(PutSettled(store, key, "mine", {}, kTries).outcome == write_outcome::lost);
}

TEST(settled_write, LostReplyFollowedByAnotherWriteStaysUnresolved)
{
  const auto mine = store.Put(key, "base", {});
  store.loseNextReply = true;
  store.Put(key, "mine", { mine });
  other.Put(key, "theirs", { content.last });
  memory_object_store retry(content);
  lost_first_reply replay{ .store = retry, .first = true, .why = {} };
  CHECK(PutSettled(replay, key, "mine", { mine }, kTries).outcome == write_outcome::unresolved);
}

TEST(settled_write, StoreDownFromTheStartWritesNothing)
{
  store.down = true;
  CHECK(PutSettled(store, key, "mine", {}, kTries).outcome == write_outcome::not_written);
}

TEST(settled_write, StoreDownAfterALostReplyStaysUnresolved)
{
  memory_object_store::content unreachable;
  memory_object_store fails(unreachable);
  fails.delayNextWrite = true;
  const auto first = PutSettled(fails, key, "mine", {}, 1);
  CHECK(first.outcome == write_outcome::unresolved);
}
