#include "standins/platform/objecttable.h"

#include <algorithm>

namespace persimmon::standins {
namespace {

constexpr std::size_t kLargestValueBytes = 1U << 20U;

} // namespace

object_table::object_table(std::size_t aHistoryLength)
  : mHistoryLength(aHistoryLength)
{
}

std::optional<platform::stored_object>
object_table::Get(const platform::object_key& aKey) const
{
  const auto found = mObjects.find(aKey);
  return found == mObjects.end() ? std::nullopt : std::optional(found->second);
}

platform::object_list
object_table::List(const std::string& aKind) const
{
  platform::object_list list;
  list.asOf = mNewest;
  for (auto it = mObjects.lower_bound({ aKind, "" });
       it != mObjects.end() && it->first.kind == aKind;
       ++it) {
    list.objects.push_back(it->second);
  }
  return list;
}

bool
object_table::Holds(const platform::object_key& aKey,
                    const platform::write_condition& aCondition) const
{
  const auto found = mObjects.find(aKey);
  if (found == mObjects.end()) {
    return !aCondition.expected.has_value();
  }
  return aCondition.expected == found->second.version;
}

write_result
object_table::Put(const platform::object_key& aKey,
                  const std::string& aValue,
                  const platform::write_condition& aCondition)
{
  if (aValue.size() > kLargestValueBytes) {
    return { write_outcome::too_large, {} };
  }
  if (!Holds(aKey, aCondition)) {
    return { write_outcome::conflict, {} };
  }
  mNewest = mNewest.Next();
  const bool created = mObjects.find(aKey) == mObjects.end();
  mObjects[aKey] = { aKey, mNewest, aValue };
  Record({ aKey, mNewest, false, aValue });
  return { created ? write_outcome::created : write_outcome::replaced, mNewest };
}

write_result
object_table::Delete(const platform::object_key& aKey, revision aExpected)
{
  if (!Holds(aKey, { aExpected })) {
    return { write_outcome::conflict, {} };
  }
  mNewest = mNewest.Next();
  mObjects.erase(aKey);
  Record({ aKey, mNewest, true, "" });
  return { write_outcome::deleted, mNewest };
}

void
object_table::Record(platform::object_change aChange)
{
  mHistory.push_back(std::move(aChange));
  if (mHistory.size() > mHistoryLength) {
    mCompacted = mHistory.front().version;
    mHistory.pop_front();
  }
}

std::optional<platform::object_changes>
object_table::ChangesAfter(const std::vector<std::string>& aKinds, revision aFrom) const
{
  if (aFrom < mCompacted) {
    return std::nullopt;
  }
  platform::object_changes result;
  result.asOf = mNewest;
  const auto first = std::upper_bound(
    mHistory.begin(), mHistory.end(), aFrom, [](revision aLeft, const auto& aRight) {
      return aLeft < aRight.version;
    });
  std::copy_if(first, mHistory.end(), std::back_inserter(result.changes), [&](const auto& aChange) {
    return std::find(aKinds.begin(), aKinds.end(), aChange.key.kind) != aKinds.end();
  });
  return result;
}

} // namespace persimmon::standins
