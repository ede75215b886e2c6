#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleetview.h"

#include <map>
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

  /// Takes a whole list. After an outage, instances that are missing get a grace time.
  void Replace(const std::vector<fleet::instance>& aList, bool aAfterOutage, time_point aNow);
  void Put(const fleet::instance& aInstance);
  /// The store removed an entry; with aInOutage it had been away just before.
  void Remove(const instance_id& aId, bool aInOutage, time_point aNow);
  /// Removes what has not come back in time; true when something was removed.
  bool Expire(time_point aNow);

private:
  void Lapse(const instance_id& aId, time_point aNow);

  fleet::fleet_view& mView;
  /// Instances whose entry is gone, with the time at which they are given up.
  std::map<instance_id, time_point> mLapsed;
};

} // namespace persimmon::gateway
