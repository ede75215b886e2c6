#pragma once

#include "peers/messages.h"

#include <vector>

namespace persimmon::poison {

/// Changes of a suspicion_table that other routers need.
struct suspicion_changes
{
  std::vector<peers::crash_message> crashes;
  std::vector<peers::quarantine_message> quarantines;

  [[nodiscard]] bool Empty() const { return crashes.empty() && quarantines.empty(); }
  void Append(const suspicion_changes& aOther)
  {
    crashes.insert(crashes.end(), aOther.crashes.begin(), aOther.crashes.end());
    quarantines.insert(quarantines.end(), aOther.quarantines.begin(), aOther.quarantines.end());
  }
};

} // namespace persimmon::poison
