#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace persimmon::dispatch {

/// Time for which a router counts after it was last known to be live: a router that is only cut off
/// goes on using its part of what the routers divide.
constexpr duration kAbsentRouterLifetime = 15_s;
/// Time after its start until a router knows the others.
constexpr duration kRouterSettleTime = 3_s;

/// The routers among which numbers that hold for all of them are divided. Does no I/O and reads no
/// clock.
class live_routers
{
public:
  explicit live_routers(router_id aSelf);

  /// Tells that there are no other routers, so that this one needs not wait to meet them.
  void SetAlone() { mIsAlone = true; }
  /// Sets the routers that are live now; this router always counts. Returns whether the routers
  /// that count have changed. The first call marks this router's start.
  bool SetLive(const std::vector<router_id>& aLive, time_point aNow);
  /// Returns whether this router has had the time to meet the others.
  [[nodiscard]] bool HasSettled(time_point aNow) const;
  /// Number of routers that count, this one included.
  [[nodiscard]] std::size_t Count() const { return mRouters.size(); }
  /// Returns the position of this router, from 0, in the order of rendezvous hashing for a key.
  [[nodiscard]] std::size_t RankFor(std::string_view aKey) const;

private:
  router_id mSelf;
  bool mIsAlone = false;
  /// Time of the first call of SetLive().
  std::optional<time_point> mStartedAt;
  /// Routers that count, and when each was last known to be live.
  std::map<router_id, time_point> mRouters;
};

} // namespace persimmon::dispatch
