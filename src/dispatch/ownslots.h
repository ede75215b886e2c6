#pragma once

#include "admission/recentranks.h"
#include "admission/slotshares.h"
#include "dispatch/upstreamstatstable.h"
#include "fleet/enginegroup.h"
#include "routes/routetable.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmon::dispatch {

/// Use of this router's own slots of one model.
struct own_slot_use
{
  std::size_t slots = 0;
  /// Those that calls of this router take.
  std::size_t inUse = 0;
};

/// Knows which slots of the groups are this router's, and how many of them its calls take. All
/// routers divide the same groups among the same routers. Does no I/O and reads no clock.
class own_slots
{
public:
  own_slots(router_id aSelf, const upstream_stats_table& aStats);

  /// Sets the live routers; this one counts as one of them. Returns whether they have changed.
  bool SetRouters(std::vector<router_id> aRouters);
  [[nodiscard]] std::size_t RouterCount() const { return mRouters.size(); }
  /// Divides the slots of groups that take calls.
  void Divide(std::vector<const fleet::engine_group*> aGroups, const routes::route_table& aRoutes);

  /// Records the arrival of a call.
  void OnArrival(const service_name& aService,
                 const routes::model_name& aModel,
                 std::size_t aRank,
                 time_point aNow)
  {
    mRanks[{ aService, aModel }].OnArrival(aRank, aNow);
  }
  [[nodiscard]] std::size_t CountMoreUrgent(const service_name& aService,
                                            const routes::model_name& aModel,
                                            std::size_t aRank,
                                            time_point aNow) const;
  /// Returns whether a slot of this router's own is free at the group of a head.
  [[nodiscard]] bool HasFree(const instance_id& aHead) const;
  /// Returns this router's slots of a model.
  [[nodiscard]] own_slot_use UseOf(const service_name& aService,
                                   const routes::model_name& aModel) const;

  using model_key = std::pair<service_name, routes::model_name>;
  /// Returns the models of which groups take calls.
  [[nodiscard]] std::vector<model_key> Models() const;

private:
  router_id mSelf;
  const upstream_stats_table& mStats;
  /// In the order of their ids.
  std::vector<router_id> mRouters;
  /// Own slots by the head of their group.
  std::unordered_map<instance_id, std::size_t> mSlots;
  std::map<model_key, std::vector<instance_id>> mHeads;
  std::map<model_key, admission::recent_ranks> mRanks;
};

} // namespace persimmon::dispatch
