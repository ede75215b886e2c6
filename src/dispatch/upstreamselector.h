#pragma once

#include "dispatch/callrate.h"
#include "dispatch/modelload.h"
#include "dispatch/ownslots.h"
#include "dispatch/selectionrequest.h"
#include "dispatch/upstreamconditions.h"
#include "dispatch/upstreamshortage.h"
#include "dispatch/upstreamstatstable.h"
#include "fleet/faultevidence.h"
#include "fleet/fleetview.h"
#include "routes/routetable.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmon::dispatch {

class group_cost;

/// Selects an upstream for each call, from what this router knows of the upstreams: their
/// statistics and what they state of themselves. Does no I/O and reads no clock; not thread-safe.
class upstream_selector
{
public:
  /// Selects for the router aSelf, which prefers upstreams of its own zone.
  upstream_selector(zone_name aZone, router_id aSelf);
  upstream_selector(const upstream_selector&) = delete;
  upstream_selector& operator=(const upstream_selector&) = delete;
  ~upstream_selector() = default;

  // Configuration and registered instances.
  void SetRoutes(std::shared_ptr<const routes::route_table> aRoutes);
  [[nodiscard]] const std::shared_ptr<const routes::route_table>& Routes() const { return mRoutes; }
  /// Returns the registered instances; call OnFleetChanged() after a change.
  fleet::fleet_view& Fleet() { return mFleet; }
  [[nodiscard]] const fleet::fleet_view& Fleet() const { return mFleet; }
  /// Rebuilds the groups and drops the state of groups and instances that no longer exist.
  void OnFleetChanged();

  /// Records how long registered instances stay cold, as far as it has changed.
  void UpdateWarmups(time_point aNow);
  /// Sets the availability zones that are emptied: no calls are sent to their instances.
  void SetEmptiedZones(std::set<zone_name> aZones) { mEmptiedZones = std::move(aZones); }
  [[nodiscard]] const std::set<zone_name>& EmptiedZones() const { return mEmptiedZones; }

  /// Sets the routers that select from the same load reports; this one counts as one of them.
  void SetRouters(std::vector<router_id> aRouters);

  // Selection.
  /// Returns an upstream among those with the lowest predicted cost; empty when none is available.
  /// An upstream that states a limit is available while this router has a permit for it.
  [[nodiscard]] std::optional<instance_id> Select(const selection_request& aRequest,
                                                  time_point aNow) const;
  /// Returns why Select() finds no upstream for a service and model.
  [[nodiscard]] upstream_shortage FindShortage(const service_name& aService,
                                               const routes::model_name& aModel,
                                               time_point aNow) const;
  /// Returns the time until this router may send a call to the first of the upstreams of a service
  /// and model that state limits; empty when it has a share in none of those limits.
  [[nodiscard]] std::optional<duration> TimeToNextPermit(const service_name& aService,
                                                         const routes::model_name& aModel,
                                                         time_point aNow) const;
  /// Returns the time until the first of the upstreams of a service and model that have asked for a
  /// pause accepts calls again; empty when none has.
  [[nodiscard]] std::optional<duration> TimeToPauseEnd(const service_name& aService,
                                                       const routes::model_name& aModel,
                                                       time_point aNow) const;
  /// Returns the number of upstreams of a service and model that are not available only since their
  /// limits allow this router no call now.
  [[nodiscard]] std::size_t CountWithoutPermit(const service_name& aService,
                                               const routes::model_name& aModel,
                                               time_point aNow) const;
  /// Returns the number of upstreams of a service and model that are not available since they have
  /// asked for a pause.
  [[nodiscard]] std::size_t CountPaused(const service_name& aService,
                                        const routes::model_name& aModel,
                                        time_point aNow) const;
  /// Returns the groups that currently accept calls.
  [[nodiscard]] std::vector<fleet::engine_group> AvailableGroups(time_point aNow) const;
  /// Returns the group that has an instance as its head; nullptr when there is none.
  [[nodiscard]] const fleet::engine_group* FindGroupByHead(const instance_id& aHead) const;
  /// Returns the group with an id and epoch; nullptr when it is not registered.
  [[nodiscard]] const fleet::engine_group* FindGroup(const group_id& aGroup,
                                                     generation aEpoch) const;

  /// Returns what upstreams state of themselves.
  upstream_conditions& Conditions() { return mConditions; }
  [[nodiscard]] const upstream_conditions& Conditions() const { return mConditions; }
  /// Returns the statistics of the upstreams.
  upstream_stats_table& Stats() { return mStats; }
  [[nodiscard]] const upstream_stats_table& Stats() const { return mStats; }

  /// Returns this router's own slots.
  own_slots& Slots() { return mOwnSlots; }
  [[nodiscard]] const own_slots& Slots() const { return mOwnSlots; }
  /// Returns the load of the available groups of a model by their latest reports. Groups without a
  /// recent report do not count. asOf is the time of the oldest report that does.
  [[nodiscard]] model_load ReportedLoad(const service_name& aService,
                                        const routes::model_name& aModel,
                                        time_point aNow) const;
  /// Records the load of a model that the router has told which asks all groups for reports; older
  /// news than the present one is ignored.
  void RecordModelLoad(const service_name& aService,
                       const routes::model_name& aModel,
                       const model_load& aLoad);
  /// Returns the calls of all routers that run or wait at the groups of a model, relative to their
  /// slots: by the news of the router that asks all of them, else by the reports that this router
  /// has, else by the use of its own slots, which stand for all.
  [[nodiscard]] double Utilisation(const service_name& aService,
                                   const routes::model_name& aModel,
                                   time_point aNow) const;

  // Events of calls.
  /// Records the arrival of a call for a service and model.
  void RecordCall(const service_name& aService, const routes::model_name& aModel, time_point aNow);
  /// Records that a call was sent to an upstream, which takes a permit if it states a limit.
  void OnCallStarted(const instance_id& aUpstream, std::uint64_t aPromptTokens, time_point aNow);
  /// Excludes a group from selection until ClearBroken(); another epoch of the group is not
  /// affected. A group that is proved to be broken stays so.
  void MarkBroken(const group_id& aGroup, generation aEpoch, fleet::fault_evidence aEvidence);
  /// Ends the exclusion after all members of the group have proved healthy.
  void ClearBroken(const group_id& aGroup, generation aEpoch);
  [[nodiscard]] bool IsBroken(const group_id& aGroup, generation aEpoch) const
  {
    return BrokenEvidence(aGroup, aEpoch).has_value();
  }
  /// Returns how certain it is that a group is broken; nothing when it is not marked as broken.
  [[nodiscard]] std::optional<fleet::fault_evidence> BrokenEvidence(const group_id& aGroup,
                                                                    generation aEpoch) const;

private:
  [[nodiscard]] bool IsInEmptiedZone(const instance_id& aInstance) const;
  [[nodiscard]] bool IsAvailable(const fleet::engine_group& aGroup, time_point aNow) const;
  [[nodiscard]] bool IsAvailable(const fleet::instance& aUpstream, time_point aNow) const;
  /// Returns whether a group serves, whatever its head has asked for.
  [[nodiscard]] bool IsUsable(const fleet::engine_group& aGroup) const;
  /// Returns the instances that take the calls for a service and model: those of a plain service,
  /// or the heads of the groups that serve.
  [[nodiscard]] std::vector<const fleet::instance*> CandidateInstances(
    const service_name& aService,
    const routes::model_name& aModel) const;
  /// Returns the instances to which calls for a service and model may be sent, limits aside.
  [[nodiscard]] std::vector<const fleet::instance*> AvailableInstances(
    const service_name& aService,
    const routes::model_name& aModel,
    time_point aNow) const;
  /// Returns the expected number of calls that other routers have sent but that no load report
  /// includes yet.
  [[nodiscard]] double UnreportedCalls(const selection_request& aRequest,
                                       const std::vector<const fleet::engine_group*>& aGroups,
                                       time_point aNow) const;
  /// A group that may take a call.
  struct candidate_group
  {
    const fleet::engine_group* group = nullptr;
    double costMs = 0;
  };
  /// Divides the slots of the groups that take calls now.
  void DivideSlots();
  /// Returns the groups that may take a call, whatever their slots.
  [[nodiscard]] std::vector<candidate_group> CandidateGroups(const selection_request& aRequest,
                                                             const group_cost& aCost,
                                                             time_point aNow) const;
  /// Drops the groups at which a call finds no slot that it may use.
  void KeepClaimable(std::vector<candidate_group>& aCandidates,
                     const selection_request& aRequest,
                     const group_cost& aCost,
                     time_point aNow) const;
  /// Returns whether a claim leaves enough of this router's own slots to calls that come first.
  [[nodiscard]] bool LeavesReserve(const selection_request& aRequest,
                                   std::size_t aMoreUrgentRanks) const;
  /// Returns whether the groups of a model have been full for a while, each time that a call finds
  /// no slot.
  [[nodiscard]] bool HasBeenFull(const selection_request& aRequest,
                                 double aUtilisation,
                                 time_point aNow) const;
  [[nodiscard]] std::optional<instance_id> SelectGroup(const selection_request& aRequest,
                                                       const group_cost& aCost,
                                                       time_point aNow) const;
  [[nodiscard]] std::optional<instance_id> SelectPlain(const selection_request& aRequest,
                                                       time_point aNow) const;

  zone_name mZone;
  std::shared_ptr<const routes::route_table> mRoutes;
  fleet::fleet_view mFleet;
  std::vector<fleet::engine_group> mGroups;
  /// Maps the head of a group to its index in mGroups.
  std::unordered_map<instance_id, std::size_t> mGroupByHead;
  upstream_stats_table mStats{ mFleet };
  upstream_conditions mConditions;
  own_slots mOwnSlots;
  std::map<std::pair<service_name, routes::model_name>, model_load> mModelLoads;
  /// Since when the groups of a model are full, and when a call last asked.
  struct full_span
  {
    time_point since;
    time_point askedAt{ INT64_MIN / 2 };
  };
  /// Changed by Select(), as news of what it finds.
  mutable std::map<std::pair<service_name, routes::model_name>, full_span> mFullSince;
  std::map<std::pair<group_id, generation>, fleet::fault_evidence> mBrokenGroups;
  std::set<zone_name> mEmptiedZones;
  std::map<std::pair<service_name, routes::model_name>, call_rate> mCallRates;
};

} // namespace persimmon::dispatch
