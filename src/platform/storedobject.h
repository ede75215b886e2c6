#pragma once

#include "base/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmon::platform {

/// Name of an object at the platform: its kind and its name within the kind.
struct object_key
{
  std::string kind;
  std::string name;

  auto operator<=>(const object_key&) const = default;
};

/// An object as the platform holds it.
struct stored_object
{
  object_key key;
  revision version;
  std::string value;
};

/// All objects of one kind, as of one revision.
struct object_list
{
  revision asOf;
  std::vector<stored_object> objects;
};

/// One accepted change that a watch tells of.
struct object_change
{
  object_key key;
  revision version;
  bool deleted = false;
  std::string value;
};

/// What a watch returned: the changes after the asked revision, oldest first, perhaps none.
struct object_changes
{
  revision asOf;
  std::vector<object_change> changes;
};

/// What must hold of an object for a write to be accepted.
struct write_condition
{
  /// The revision the object must have; none means that it must not exist.
  std::optional<revision> expected;
};

} // namespace persimmon::platform
