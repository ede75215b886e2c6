#pragma once

#include "base/clock.h"
#include "platform/instancelist.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace persimmon::standins {

/// The platform's list of instances, which shows each change only after a lag.
class lagging_list
{
public:
  explicit lagging_list(duration aLag)
    : mLag(aLag)
  {
  }

  /// Adds or replaces an instance. Returns true when this marks a life of it as leaving.
  bool Add(const platform::listed_instance& aInstance, time_point aNow);
  void Remove(const instance_id& aInstance, time_point aNow);
  /// Returns the list as the platform shows it now.
  std::vector<platform::listed_instance> Visible(time_point aNow);
  /// Changes the lag of the changes to come.
  void SetLag(duration aLag) { mLag = aLag; }

private:
  struct pending_change
  {
    time_point visibleAt;
    instance_id instance;
    /// Empty for a removal.
    std::optional<platform::listed_instance> value;
  };
  using instance_map = std::map<instance_id, platform::listed_instance>;

  static void Apply(const pending_change& aChange, instance_map& aMap);

  duration mLag;
  instance_map mActual;
  instance_map mVisible;
  std::deque<pending_change> mPending;
};

} // namespace persimmon::standins
