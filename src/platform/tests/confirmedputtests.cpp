#include "platform/confirmedput.h"

#include "platform/tests/mocks/memoryobjectstore.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::platform;

namespace {

constexpr int kMaxTries = 3;

/// Forwards to a store and reports the outcome of the first write as unknown.
struct first_response_lost
{
  memory_object_store& store;
  bool isFirst = true;
  store_failure failure;

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
    failure = isFirst ? store_failure{ store_error::unknown_outcome, "" } : store.LastFailure();
    const bool lost = isFirst;
    isFirst = false;
    return lost ? std::nullopt : written;
  }
  [[nodiscard]] const store_failure& LastFailure() const { return failure; }
};

} // namespace

// clang-format off
TEST_GROUP(confirmed_put)
{
  memory_object_store::content content;
  memory_object_store store{ content };
  memory_object_store other{ content };
  object_key key{ "service", "a" };
};
// clang-format on

TEST(confirmed_put, WriteWithALostResponseIsConfirmedAsApplied)
{
  store.loseNextReply = true;
  const auto result = PutConfirmed(store, key, "mine", {}, kMaxTries);
  CHECK(result.outcome == write_outcome::applied);
  CHECK(result.version == content.last);
  CHECK_EQUAL(1, content.writes);
}

TEST(confirmed_put, RetryIsAppliedAndTheDelayedWriteIsNot)
{
  store.delayNextWrite = true;
  const auto result = PutConfirmed(store, key, "mine", {}, kMaxTries);
  CHECK(result.outcome == write_outcome::applied);
  store.ApplyDelayedWrites();
  CHECK_EQUAL(1, content.writes);
  CHECK(result.version == content.last);
}

TEST(confirmed_put, WriteAfterAnotherWriterIsAConflict)
{
  other.Put(key, "theirs", {});
  CHECK(PutConfirmed(store, key, "mine", {}, kMaxTries).outcome == write_outcome::conflict);
}

TEST(confirmed_put, LostResponseFollowedByAnotherWriteIsUnresolved)
{
  const auto mine = store.Put(key, "base", {});
  store.loseNextReply = true;
  store.Put(key, "mine", { mine });
  other.Put(key, "theirs", { content.last });
  memory_object_store retryStore(content);
  first_response_lost flakyStore{ .store = retryStore, .isFirst = true, .failure = {} };
  CHECK(PutConfirmed(flakyStore, key, "mine", { mine }, kMaxTries).outcome ==
        write_outcome::unresolved);
}

TEST(confirmed_put, UnavailableStoreIsReportedAsNotWritten)
{
  store.down = true;
  CHECK(PutConfirmed(store, key, "mine", {}, kMaxTries).outcome == write_outcome::not_written);
}

TEST(confirmed_put, LostResponseWithoutAnotherTryIsUnresolved)
{
  memory_object_store::content separateContent;
  memory_object_store delayingStore(separateContent);
  delayingStore.delayNextWrite = true;
  const auto result = PutConfirmed(delayingStore, key, "mine", {}, 1);
  CHECK(result.outcome == write_outcome::unresolved);
}
