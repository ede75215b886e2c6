#pragma once

#include "base/ids.h"

#include <deque>
#include <unordered_map>

namespace persimmon::fleet {

/// Most instances that are remembered as leaving; above it, the first that were recorded are
/// forgotten. Those have long ended.
constexpr std::size_t kMaxLeavingInstances = 4096;

/// Instances that have said themselves that they are leaving, each in one incarnation. Holds
/// against entries of the registry that do not say it.
class leaving_instances
{
public:
  /// Records that an incarnation is leaving. Returns false when that, or a later incarnation that
  /// is leaving, is known.
  bool Add(const instance_id& aId, incarnation aIncarnation)
  {
    const auto [position, inserted] = mIncarnations.try_emplace(aId, aIncarnation);
    if (!inserted && position->second >= aIncarnation) {
      return false;
    }
    position->second = aIncarnation;
    if (inserted) {
      mOrder.push_back(aId);
    }
    if (mOrder.size() > kMaxLeavingInstances) {
      mIncarnations.erase(mOrder.front());
      mOrder.pop_front();
    }
    return true;
  }
  /// Returns whether an incarnation is leaving; an earlier one than the recorded one is, too.
  [[nodiscard]] bool Contains(const instance_id& aId, incarnation aIncarnation) const
  {
    const auto found = mIncarnations.find(aId);
    return found != mIncarnations.end() && aIncarnation <= found->second;
  }

private:
  std::unordered_map<instance_id, incarnation> mIncarnations;
  /// Ids in the order in which they were first recorded.
  std::deque<instance_id> mOrder;
};

} // namespace persimmon::fleet
