#pragma once

#include "base/ids.h"
#include "platform/storedobject.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::standins {

enum class write_outcome
{
  created,
  replaced,
  deleted,
  /// The condition did not hold.
  conflict,
  too_large
};

struct write_result
{
  write_outcome outcome = write_outcome::conflict;
  /// Revision of the accepted write.
  revision version;
};

/// The platform's objects with their revisions, and a bounded history of changes for watches.
class object_table
{
public:
  /// aHistoryLength is how many changes are kept before the oldest are compacted.
  explicit object_table(std::size_t aHistoryLength);

  [[nodiscard]] std::optional<platform::stored_object> Get(const platform::object_key& aKey) const;
  [[nodiscard]] platform::object_list List(const std::string& aKind) const;
  write_result Put(const platform::object_key& aKey,
                   const std::string& aValue,
                   const platform::write_condition& aCondition);
  write_result Delete(const platform::object_key& aKey, revision aExpected);
  /// Returns the changes of these kinds after a revision; nothing when it was compacted.
  [[nodiscard]] std::optional<platform::object_changes> ChangesAfter(
    const std::vector<std::string>& aKinds,
    revision aFrom) const;
  /// Revision of the last accepted write.
  [[nodiscard]] revision Newest() const { return mNewest; }

private:
  bool Holds(const platform::object_key& aKey, const platform::write_condition& aCondition) const;
  void Record(platform::object_change aChange);

  std::size_t mHistoryLength;
  revision mNewest;
  /// Revision of the newest change that is no longer kept.
  revision mCompacted;
  std::map<platform::object_key, platform::stored_object> mObjects;
  std::deque<platform::object_change> mHistory;
};

} // namespace persimmon::standins
