#pragma once

#include "dispatch/callrate.h"
#include "dispatch/selectionrequest.h"
#include "dispatch/upstreamstats.h"
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

/// What a router believes about the upstreams, and the choice among them. Pure: the caller gives
/// the time and serialises calls.
class upstream_selector
{
public:
  explicit upstream_selector(zone_name aZone);

  // What is declared and registered.
  void SetRoutes(std::shared_ptr<const routes::route_table> aRoutes);
  [[nodiscard]] const std::shared_ptr<const routes::route_table>& Routes() const { return mRoutes; }
  /// The registered instances; call OnFleetChanged() after a change.
  fleet::fleet_view& Fleet() { return mFleet; }
  [[nodiscard]] const fleet::fleet_view& Fleet() const { return mFleet; }
  void OnFleetChanged();

  /// Sets the number of routers that choose from the same news, this one included.
  void SetRouterCount(std::size_t aRouterCount)
  {
    mRouterCount = std::max<std::size_t>(aRouterCount, 1);
  }

  // Choice.
  /// Returns the upstream that is predicted to answer first, or nothing.
  [[nodiscard]] std::optional<instance_id> Select(const selection_request& aRequest,
                                                  time_point aNow) const;
  /// True when some upstream takes calls of a service and model at present.
  [[nodiscard]] bool CanServe(const service_name& aService,
                              const routes::model_name& aModel,
                              time_point aNow) const;
  [[nodiscard]] std::vector<fleet::engine_group> AvailableGroups(time_point aNow) const;
  /// Returns the group whose head an instance is; nullptr when it is none.
  [[nodiscard]] const fleet::engine_group* FindGroupByHead(const instance_id& aHead) const;
  /// Returns a group with the epoch given; nullptr when it is not known.
  [[nodiscard]] const fleet::engine_group* FindGroup(const group_id& aGroup,
                                                     generation aEpoch) const;

  // What happens to calls.
  /// A call has come for a service and model.
  void RecordCall(const service_name& aService, const routes::model_name& aModel, time_point aNow);
  void OnCallStarted(const instance_id& aUpstream, std::uint64_t aPromptTokens);
  /// Records the first byte of an answer.
  void OnFirstByte(const instance_id& aUpstream, std::uint64_t aPromptTokens, time_point aNow);
  void OnBytesReceived(const instance_id& aUpstream, time_point aNow);
  /// Records the time between two events, or of a whole answer of a plain service.
  void RecordLatency(const instance_id& aUpstream, duration aLatency);
  /// Records how slow an upstream says to be, as a factor on what is expected.
  void RecordReportedSlowdown(const instance_id& aUpstream, double aSlowdown, time_point aNow);
  void OnCallEnded(const instance_id& aUpstream, std::uint64_t aPendingTokens);
  /// Records whether an upstream did what it was asked.
  void RecordOutcome(const instance_id& aUpstream, bool aSucceeded, time_point aNow);
  void RecordReportedLoad(const instance_id& aUpstream,
                          const upstream_load& aLoad,
                          time_point aNow);
  /// Keeps new calls away from an upstream.
  void AvoidUntil(const instance_id& aUpstream, time_point aUntil);
  /// Keeps new calls away from a group for good; a later epoch is another group.
  void MarkBroken(const group_id& aGroup, generation aEpoch);
  /// Takes the mark back when the group proves whole.
  void ClearBroken(const group_id& aGroup, generation aEpoch);
  [[nodiscard]] bool IsBroken(const group_id& aGroup, generation aEpoch) const;
  [[nodiscard]] const upstream_stats* FindStats(const instance_id& aUpstream) const;

private:
  /// How the groups of one model work.
  struct model_parameters
  {
    const routes::engine_profile& engine;
    double timeFactor = 1;
    double slots = 1;
  };

  upstream_stats& CurrentStats(const instance_id& aUpstream);
  [[nodiscard]] bool IsAvailable(const fleet::engine_group& aGroup, time_point aNow) const;
  [[nodiscard]] bool IsAvailable(const fleet::instance& aUpstream, time_point aNow) const;
  [[nodiscard]] double GroupCostMs(const fleet::engine_group& aGroup,
                                   const model_parameters& aModel,
                                   std::uint64_t aPromptTokens,
                                   time_point aNow) const;
  /// Factor by which a group is slower than expected, from what is told and what was seen.
  [[nodiscard]] double SlowdownFactor(const fleet::engine_group& aGroup,
                                      double aExpectedGapMs,
                                      time_point aNow) const;
  /// Time that one more call would wait for a place in a group.
  [[nodiscard]] double QueueWaitMs(const fleet::engine_group& aGroup,
                                   const model_parameters& aModel,
                                   time_point aNow) const;
  /// What one more call adds to a group's cost.
  [[nodiscard]] static double MarginalCostMs(const model_parameters& aModel);
  /// Calls that other routers give out before news of them comes here.
  [[nodiscard]] double UnreportedCalls(const selection_request& aRequest,
                                       const std::vector<const fleet::engine_group*>& aGroups,
                                       time_point aNow) const;
  [[nodiscard]] double PlainUpstreamCost(const fleet::instance& aUpstream, time_point aNow) const;
  [[nodiscard]] std::optional<instance_id> SelectGroup(const selection_request& aRequest,
                                                       const model_parameters& aModel,
                                                       time_point aNow) const;
  [[nodiscard]] std::optional<instance_id> SelectPlain(const selection_request& aRequest,
                                                       time_point aNow) const;
  /// Calls that an upstream is estimated to hold, from all routers.
  [[nodiscard]] double EstimatedCalls(const instance_id& aUpstream, time_point aNow) const;
  [[nodiscard]] double FailureRate(const instance_id& aUpstream, time_point aNow) const;

  zone_name mZone;
  std::shared_ptr<const routes::route_table> mRoutes;
  fleet::fleet_view mFleet;
  std::vector<fleet::engine_group> mGroups;
  std::unordered_map<instance_id, std::size_t> mGroupByHead;
  std::unordered_map<instance_id, upstream_stats> mStats;
  std::set<std::pair<group_id, generation>> mBrokenGroups;
  std::size_t mRouterCount = 1;
  std::map<std::pair<service_name, routes::model_name>, call_rate> mCallRates;
};

} // namespace persimmon::dispatch
