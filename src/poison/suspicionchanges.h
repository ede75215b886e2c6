#pragma once

#include "peers/messages.h"

#include <vector>

namespace persimmon::poison {

/// Changes of a suspicion_table that other routers need.
struct suspicion_changes
{
  std::vector<peers::crash_message> crashes;
  std::vector<peers::quarantine_message> quarantines;

  /// Returns the change that a mesh message tells; no change for messages of other kinds.
  [[nodiscard]] static suspicion_changes FromMessage(const peers::mesh_message& aMessage)
  {
    suspicion_changes changes;
    if (const auto* crash = std::get_if<peers::crash_message>(&aMessage)) {
      changes.crashes.push_back(*crash);
    } else if (const auto* quarantine = std::get_if<peers::quarantine_message>(&aMessage)) {
      changes.quarantines.push_back(*quarantine);
    }
    return changes;
  }
  /// Calls aPublish with each change as a mesh message.
  template<typename Publish>
  void ForEachMessage(const Publish& aPublish) const
  {
    for (const peers::crash_message& crash : crashes) {
      aPublish(peers::mesh_message(crash));
    }
    for (const peers::quarantine_message& quarantine : quarantines) {
      aPublish(peers::mesh_message(quarantine));
    }
  }
  [[nodiscard]] bool Empty() const { return crashes.empty() && quarantines.empty(); }
  void Append(const suspicion_changes& aOther)
  {
    crashes.insert(crashes.end(), aOther.crashes.begin(), aOther.crashes.end());
    quarantines.insert(quarantines.end(), aOther.quarantines.begin(), aOther.quarantines.end());
  }
};

} // namespace persimmon::poison
