#pragma once

#include "base/jsonscanner.h"

#include <optional>
#include <string_view>
#include <vector>

namespace persimmon {

/// The parts of a JSON object that holds a list to which several writers contribute, such as a
/// response of a store. Each item is a stretch of the text of its own, to be parsed by itself.
struct shared_json_list
{
  /// In the order of the text. An item that has an odd structure is the stretch up to the next item
  /// that has not.
  std::vector<std::string_view> items;
  /// The members of the object other than the list.
  std::vector<json_member> others;
};

/// What an object with a shared list looks like.
struct shared_list_form
{
  /// Name of the member that holds the list.
  std::string_view listName;
  /// Name of a member that each item has, by which an item is known behind one of odd structure.
  std::string_view itemMember;
};

/// Takes an object with a shared list apart. Returns nothing when the text is no such object, has
/// ended early, or is odd outside of the items.
std::optional<shared_json_list>
SplitSharedList(std::string_view aText, const shared_list_form& aForm);

} // namespace persimmon
