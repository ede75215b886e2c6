#pragma once

#include "base/ids.h"

#include <algorithm>
#include <vector>

namespace persimmon::dispatch {

/// Returns whether a list has an instance.
inline bool
Contains(const std::vector<instance_id>& aIds, const instance_id& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

} // namespace persimmon::dispatch
