#pragma once

#include "base/ids.h"
#include "fleet/instance.h"

#include <optional>
#include <string_view>

namespace persimmon::gateway {

/// Prefix of the names of mesh documents that describe instances; their versions are revisions of
/// the store.
constexpr std::string_view kInstanceDocumentPrefix = "instance/";

/// Entry of one instance in the store as of a version.
struct instance_change
{
  instance_id id;
  /// Of two changes of one instance, the one with the higher version is the later.
  revision version;
  /// Nothing when the entry was removed or cannot be used.
  std::optional<fleet::instance> entry;
};

/// Origin of a change.
enum class change_source
{
  /// A list of the store, which may be an older copy of what it had.
  list,
  /// A write that the store reported when it came.
  store,
  peer
};

} // namespace persimmon::gateway
