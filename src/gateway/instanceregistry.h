#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleetview.h"
#include "gateway/instancechange.h"

#include <map>
#include <set>
#include <vector>

namespace persimmon::gateway {

/// Merges the changes of the registered instances from the store and from other gateways into a
/// fleet view. An entry that expired while the store was unavailable may belong to a live instance
/// that could not renew it, so it is retained for a short time after the store recovers. When the
/// store comes back from an older copy, what the copy says of an instance does not replace later
/// knowledge of it. Does no I/O and reads no clock.
class instance_registry
{
public:
  explicit instance_registry(fleet::fleet_view& aView)
    : mView(aView)
  {
  }

  /// The store is available again, or for the first time.
  void OnStoreRecovered(time_point aNow);
  /// The store has become unavailable.
  void OnStoreLost(time_point aNow)
  {
    mStoreAvailable = false;
    mStoreLostAt = aNow;
  }
  /// Applies the store's complete list as of a revision. Returns the entries that are newer than
  /// what was known.
  std::vector<instance_change> ApplyList(const std::vector<instance_change>& aList,
                                         revision aAsOf,
                                         time_point aNow);
  /// Applies one change. Returns false when the same or a later version is already known.
  bool ApplyChange(const instance_change& aChange, change_source aFrom, time_point aNow);
  /// Returns the ends of instances that only a list has shown, once each: peers that read no list
  /// learn of them from this process alone.
  [[nodiscard]] std::vector<instance_change> TakeListedEnds();
  /// Removes retained entries that were not registered again in time. Returns whether any was
  /// removed.
  bool RemoveExpired(time_point aNow);

private:
  /// What is known of one instance, also after its end.
  struct known_instance
  {
    /// Version of the latest known change.
    revision version;
    /// The change was in a list of the store, and nobody told this process anything else since.
    bool onlyListed = false;
    /// Incarnation in which the instance ended; nothing while it is registered.
    std::optional<incarnation> ended;
    /// The instance ended before this process had seen its entry; the incarnation is not known.
    bool endedUnseen = false;
  };

  /// Returns whether a change of a later era shows a state from before the latest known one: the
  /// store came back from an older copy that still has it.
  [[nodiscard]] bool IsFromOlderCopy(const instance_change& aChange,
                                     const known_instance& aKnown,
                                     change_source aFrom) const;
  /// Returns whether a peer knows more of an instance that this process has only seen in a list of
  /// a later era: that may show an older copy.
  [[nodiscard]] bool IsKnownBetterByPeer(const instance_change& aChange,
                                         const known_instance& aKnown) const;
  /// Returns an entry with the time at which its incarnation may have begun.
  [[nodiscard]] fleet::instance WithBegin(fleet::instance aEntry, time_point aNow) const;
  void Remove(const instance_id& aId, change_source aFrom, time_point aNow);
  /// Removes an instance from the view and remembers in which incarnation it ended.
  void End(const instance_id& aId);

  fleet::fleet_view& mView;
  bool mStoreAvailable = false;
  time_point mStoreLostAt{ INT64_MAX / 2 };
  /// Entries that disappear before this time may have expired while the store was unavailable.
  time_point mRetainUntil{ INT64_MIN / 2 };
  /// Instances whose entry has disappeared, and the time until which they are retained.
  std::map<instance_id, time_point> mRetained;
  std::map<instance_id, known_instance> mKnown;
  /// Instances missing in a list that have not ended yet in the view.
  std::set<instance_id> mMissingInList;
  std::vector<instance_change> mListedEnds;
};

} // namespace persimmon::gateway
