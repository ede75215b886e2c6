#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleetview.h"
#include "gateway/instancechange.h"

#include <map>
#include <vector>

namespace persimmon::gateway {

/// Keeps the registered instances from what the store and other gateways tell. An entry that lapsed
/// while the store was away may belong to an instance that lives and could not renew it; it is kept
/// for a short time after the store's return. Pure but for the view it fills.
class instance_registry
{
public:
  explicit instance_registry(fleet::fleet_view& aView)
    : mView(aView)
  {
  }

  /// The store answers again, or for the first time.
  void OnStoreRecovered(time_point aNow);
  /// The store no longer answers.
  void OnStoreLost() { mStoreAvailable = false; }
  /// Takes the store's whole list as of a revision. Returns what is news here.
  std::vector<instance_change> ApplyList(const std::vector<instance_change>& aList,
                                         revision aAsOf,
                                         time_point aNow);
  /// Takes one change; false when something as late or later is known.
  bool ApplyChange(const instance_change& aChange, change_source aFrom, time_point aNow);
  /// Removes what has not come back in time; true when something was removed.
  bool RemoveExpired(time_point aNow);

private:
  void Remove(const instance_id& aId, change_source aFrom, time_point aNow);

  fleet::fleet_view& mView;
  bool mStoreAvailable = false;
  /// Entries that vanish before this time may have lapsed while the store was away.
  time_point mRetainUntil{ INT64_MIN / 2 };
  /// Instances whose entry is gone, and until when they are kept.
  std::map<instance_id, time_point> mRetained;
  /// Revision of the newest change known of each instance.
  std::map<instance_id, revision> mVersions;
};

} // namespace persimmon::gateway
