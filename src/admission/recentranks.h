#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace persimmon::admission {

/// Remembers which ranks of calls have arrived lately, so that room is left only to those that are
/// there. Rank 0 is the most urgent. Does no I/O and reads no clock.
class recent_ranks
{
public:
  /// Records the arrival of a call of a rank.
  void OnArrival(std::size_t aRank, time_point aNow)
  {
    std::erase_if(mArrivals, [aNow](const auto& aEntry) { return aNow - aEntry.second > kMemory; });
    mArrivals[aRank] = aNow;
  }
  /// Returns how many ranks that are more urgent than aRank have arrived lately.
  [[nodiscard]] std::size_t CountMoreUrgent(std::size_t aRank, time_point aNow) const
  {
    return static_cast<std::size_t>(
      std::count_if(mArrivals.begin(), mArrivals.lower_bound(aRank), [aNow](const auto& aEntry) {
        return aNow - aEntry.second <= kMemory;
      }));
  }

private:
  /// Time for which room is left to a rank without calls.
  static constexpr duration kMemory{ 5000 };

  /// When a call of each rank last arrived.
  std::map<std::size_t, time_point> mArrivals;
};

} // namespace persimmon::admission
