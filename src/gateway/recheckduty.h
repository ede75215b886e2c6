#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Number of gateways that ask the members of a marked group again for all.
constexpr std::size_t kRecheckers = 3;
/// Age of a mark at which any gateway asks again: those that should have are gone, or cut off.
constexpr duration kMaxMarkAge = 3_s;

/// Decides which gateways ask the members of a group that is marked as broken. What one finds, it
/// tells the others. If each asked, the questions would grow with the number of gateways, and
/// callers wait behind them. Does no I/O and reads no clock.
class recheck_duty
{
public:
  using group_epoch = std::pair<group_id, generation>;

  /// Sets the live gateways, this one included.
  void SetGateways(router_id aSelf, std::vector<router_id> aLive);
  /// Sets which groups are marked now, and remembers since when.
  void SetMarked(const std::set<group_epoch>& aMarked, time_point aNow);
  /// Returns whether this gateway asks. One with calls at the group always does.
  [[nodiscard]] bool MustAsk(const group_epoch& aGroup, bool aHasCalls, time_point aNow) const;

private:
  router_id mSelf;
  std::vector<router_id> mLive;
  std::map<group_epoch, time_point> mMarkedSince;
};

} // namespace persimmon::gateway
