#pragma once

#include "platform/objectstore.h"

#include <algorithm>
#include <map>

namespace persimmon::platform {

/// In-memory object store for tests. Faults are injected by setting public members before a call.
/// Several stores that share one content act as the connections of several processes.
class memory_object_store
{
public:
  /// The stored objects, their history and the number of calls.
  struct content
  {
    /// Revision of the last change.
    revision last;
    std::map<object_key, stored_object> objects;
    std::vector<object_change> history;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
  };

  explicit memory_object_store(content& aContent)
    : mContent(aContent)
  {
  }

  /// Every call fails as unavailable.
  bool down = false;
  /// The next write takes effect and its response is lost.
  bool loseNextReply = false;
  /// The response to the next write is lost; the write itself waits for ApplyDelayedWrites().
  bool delayNextWrite = false;

  std::optional<stored_object> Get(const object_key& aKey)
  {
    if (!CheckAvailable()) {
      return std::nullopt;
    }
    ++mContent.reads;
    const auto found = mContent.objects.find(aKey);
    if (found == mContent.objects.end()) {
      return Fail<stored_object>(store_error::not_found);
    }
    return found->second;
  }

  std::optional<object_list> List(const std::string& aKind)
  {
    if (!CheckAvailable()) {
      return std::nullopt;
    }
    ++mContent.reads;
    object_list list{ mContent.last, {} };
    for (const auto& [key, object] : mContent.objects) {
      if (key.kind == aKind) {
        list.objects.push_back(object);
      }
    }
    return list;
  }

  std::optional<revision> Put(const object_key& aKey,
                              const std::string& aValue,
                              const write_condition& aCondition)
  {
    if (!CheckAvailable()) {
      return std::nullopt;
    }
    if (delayNextWrite) {
      delayNextWrite = false;
      mDelayed.push_back({ aKey, aValue, aCondition });
      return Fail<revision>(store_error::unknown_outcome);
    }
    const auto written = Write(aKey, aValue, aCondition);
    if (loseNextReply) {
      loseNextReply = false;
      return Fail<revision>(store_error::unknown_outcome);
    }
    return written ? written : Fail<revision>(store_error::conflict);
  }

  std::optional<revision> Delete(const object_key& aKey, revision aExpected)
  {
    if (!CheckAvailable()) {
      return std::nullopt;
    }
    const auto found = mContent.objects.find(aKey);
    if (found == mContent.objects.end()) {
      return Fail<revision>(store_error::not_found);
    }
    if (found->second.version != aExpected) {
      return Fail<revision>(store_error::conflict);
    }
    ++mContent.writes;
    mContent.last = mContent.last.Next();
    mContent.objects.erase(found);
    mContent.history.push_back({ aKey, mContent.last, true, "" });
    return mContent.last;
  }

  std::optional<object_changes> Watch(const std::vector<std::string>& aKinds,
                                      revision aFrom,
                                      duration)
  {
    if (!CheckAvailable()) {
      return std::nullopt;
    }
    ++mContent.reads;
    object_changes result{ mContent.last, {} };
    for (const object_change& change : mContent.history) {
      const bool matches = std::find(aKinds.begin(), aKinds.end(), change.key.kind) != aKinds.end();
      if (matches && change.version > aFrom) {
        result.changes.push_back(change);
      }
    }
    return result;
  }

  /// Applies the delayed writes whose preconditions still hold.
  void ApplyDelayedWrites()
  {
    for (const delayed_write& write : mDelayed) {
      Write(write.key, write.value, write.condition);
    }
    mDelayed.clear();
  }

  [[nodiscard]] const store_failure& LastFailure() const { return mFailure; }

private:
  struct delayed_write
  {
    object_key key;
    std::string value;
    write_condition condition;
  };

  bool CheckAvailable()
  {
    mFailure = down ? store_failure{ store_error::unavailable, "down" } : store_failure{};
    return !down;
  }

  template<typename Result>
  std::optional<Result> Fail(store_error aError)
  {
    mFailure = { aError, StoreErrorName(aError) };
    return std::nullopt;
  }

  std::optional<revision> Write(const object_key& aKey,
                                const std::string& aValue,
                                const write_condition& aCondition)
  {
    const auto found = mContent.objects.find(aKey);
    const bool exists = found != mContent.objects.end();
    const bool conditionHolds =
      aCondition.expected ? exists && found->second.version == *aCondition.expected : !exists;
    if (!conditionHolds) {
      return std::nullopt;
    }
    ++mContent.writes;
    mContent.last = mContent.last.Next();
    mContent.objects[aKey] = { aKey, mContent.last, aValue };
    mContent.history.push_back({ aKey, mContent.last, false, aValue });
    return mContent.last;
  }

  content& mContent;
  store_failure mFailure;
  std::vector<delayed_write> mDelayed;
};

static_assert(object_store<memory_object_store>);

} // namespace persimmon::platform
