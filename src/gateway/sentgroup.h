#pragma once

#include "base/ids.h"

namespace persimmon::gateway {

/// The group to which a call was sent, as it was registered then.
struct sent_group
{
  group_id id;
  generation epoch;
  /// Incarnation of the head.
  incarnation headIncarnation;
};

} // namespace persimmon::gateway
