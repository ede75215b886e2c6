#include "platform/tests/mocks/memoryobjectstore.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::platform;

// clang-format off
TEST_GROUP(memory_object_store)
{
  memory_object_store::content content;
  memory_object_store store{ content };
  object_key key{ "service", "a" };
};
// clang-format on

TEST(memory_object_store, ConditionalWriteRequiresTheCurrentRevision)
{
  const auto first = store.Put(key, "1", {});
  CHECK(first.has_value());
  CHECK_FALSE(store.Put(key, "2", {}).has_value());
  CHECK(store.LastFailure().code == store_error::conflict);
  CHECK(store.Put(key, "2", { first }).has_value());
}

TEST(memory_object_store, DelayedWriteTakesEffectWhenApplied)
{
  store.delayNextWrite = true;
  CHECK_FALSE(store.Put(key, "1", {}).has_value());
  CHECK(store.LastFailure().code == store_error::unknown_outcome);
  CHECK_FALSE(store.Get(key).has_value());
  store.ApplyDelayedWrites();
  CHECK(store.Get(key).has_value());
}
