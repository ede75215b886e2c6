#pragma once

#include "platform/tests/mocks/memoryobjectstore.h"

#include <mutex>

namespace persimmon::ledger {

/// An in-memory store behind a mutex, shared by the connections of several threads.
struct shared_memory_store
{
  std::mutex mutex;
  platform::memory_object_store::content content;
  platform::memory_object_store store{ content };
};

/// One thread's connection to a shared_memory_store.
class shared_store
{
private:
  template<typename Action>
  auto Call(const Action& aAction)
  {
    const std::lock_guard lock(mShared->mutex);
    auto result = aAction(mShared->store);
    mLastFailure = mShared->store.LastFailure();
    return result;
  }

public:
  explicit shared_store(shared_memory_store& aShared)
    : mShared(&aShared)
  {
  }

  std::optional<platform::stored_object> Get(const platform::object_key& aKey)
  {
    return Call([&](auto& aStore) { return aStore.Get(aKey); });
  }
  std::optional<platform::object_list> List(const std::string& aKind)
  {
    return Call([&](auto& aStore) { return aStore.List(aKind); });
  }
  std::optional<revision> Put(const platform::object_key& aKey,
                              const std::string& aValue,
                              const platform::write_condition& aCondition)
  {
    return Call([&](auto& aStore) { return aStore.Put(aKey, aValue, aCondition); });
  }
  std::optional<revision> Delete(const platform::object_key& aKey, revision aExpected)
  {
    return Call([&](auto& aStore) { return aStore.Delete(aKey, aExpected); });
  }
  std::optional<platform::object_changes> Watch(const std::vector<std::string>& aKinds,
                                                revision aFrom,
                                                duration aWait)
  {
    return Call([&](auto& aStore) { return aStore.Watch(aKinds, aFrom, aWait); });
  }
  [[nodiscard]] const platform::store_failure& LastFailure() const { return mLastFailure; }

private:
  shared_memory_store* mShared;
  platform::store_failure mLastFailure;
};

static_assert(platform::object_store<shared_store>);

} // namespace persimmon::ledger
