#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleetview.h"

#include <set>
#include <vector>

namespace persimmon::gateway {

/// Keeps the registered instances. An entry that lapsed while the store was away may belong to an
/// instance that lives and could not renew it; it is kept for a short time after the store's
/// return. Pure but for the view it fills.
class instance_keeper
{
public:
  explicit instance_keeper(fleet::fleet_view& aView)
    : mView(aView)
  {
  }

  /// The store answers again, or for the first time.
  void StoreReturned(time_point aNow);
  /// Takes a whole list.
  void Replace(const std::vector<fleet::instance>& aList, time_point aNow);
  void Put(const fleet::instance& aInstance);
  /// The store has no entry of this instance any more.
  void Remove(const instance_id& aId, time_point aNow);
  /// Removes what has not come back in time; true when something was removed.
  bool Expire(time_point aNow);

private:
  fleet::fleet_view& mView;
  /// Entries that vanish before this time may have lapsed while the store was away.
  time_point mKeepUntil{ INT64_MIN / 2 };
  /// Instances whose entry is gone and that are kept until then.
  std::set<instance_id> mLapsed;
};

} // namespace persimmon::gateway
