#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::platform {

/// Identifies an object in the store by its kind and its name, which is unique within the kind.
struct object_key
{
  std::string kind;
  std::string name;

  auto operator<=>(const object_key&) const = default;
};

/// An object with its value and the revision of its last write.
struct stored_object
{
  object_key key;
  revision version;
  /// As the writer has left it: no JSON where that cannot be read.
  std::string value;
};

/// All objects of one kind, as of one revision of the store.
struct object_list
{
  revision asOf;
  std::vector<stored_object> objects;
  /// Starts of the items of which not even a name could be read, for logs.
  std::vector<std::string> unnamed{};
};

/// A write or deletion that a watch reports.
struct object_change
{
  object_key key;
  revision version;
  bool deleted = false;
  /// Empty when the object was deleted.
  std::string value;
};

/// Result of a watch: the changes after the requested revision, oldest first; may be empty.
struct object_changes
{
  /// Revision from which the next watch continues.
  revision asOf;
  std::vector<object_change> changes;
  /// Starts of the items of which not even a name could be read, for logs.
  std::vector<std::string> unnamed{};
};

/// Precondition of a write.
struct write_condition
{
  /// The revision that the object must have; empty when the object must not exist.
  std::optional<revision> expected;
};

} // namespace persimmon::platform
