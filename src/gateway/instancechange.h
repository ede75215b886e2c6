#pragma once

#include "base/ids.h"
#include "fleet/instance.h"

#include <optional>

namespace persimmon::gateway {

/// What the store holds of one instance as of a revision.
struct instance_change
{
  instance_id id;
  /// Of two changes of one instance, the higher is the later.
  revision version;
  /// Nothing when the entry is gone or names no instance to use.
  std::optional<fleet::instance> entry;
};

/// Who tells of a change.
enum class change_source
{
  store,
  peer
};

} // namespace persimmon::gateway
