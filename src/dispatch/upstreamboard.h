#pragma once

#include "dispatch/callrate.h"
#include "dispatch/choicerequest.h"
#include "dispatch/upstreamrecord.h"
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
class upstream_board
{
public:
  explicit upstream_board(zone_name aZone);

  // What is declared and registered.
  void SetRoutes(std::shared_ptr<const routes::route_table> aRoutes);
  [[nodiscard]] const std::shared_ptr<const routes::route_table>& Routes() const { return mRoutes; }
  /// The registered instances; call FleetChanged() after a change.
  fleet::fleet_view& Fleet() { return mFleet; }
  [[nodiscard]] const fleet::fleet_view& Fleet() const { return mFleet; }
  void FleetChanged();

  /// Sets the number of routers that choose from the same news, this one included.
  void SetRouters(std::size_t aRouters) { mRouters = std::max<std::size_t>(aRouters, 1); }

  // Choice.
  /// Returns the upstream that is predicted to answer first, or nothing.
  [[nodiscard]] std::optional<instance_id> Choose(const choice_request& aRequest,
                                                  time_point aNow) const;
  /// True when some upstream takes calls of a service and model at present.
  [[nodiscard]] bool Serves(const service_name& aService,
                            const routes::model_name& aModel,
                            time_point aNow) const;
  [[nodiscard]] std::vector<fleet::engine_group> ServingGroups(time_point aNow) const;
  /// Returns the group whose head an instance is; nullptr when it is none.
  [[nodiscard]] const fleet::engine_group* GroupOfHead(const instance_id& aHead) const;
  /// Returns a group with the epoch given; nullptr when it is not known.
  [[nodiscard]] const fleet::engine_group* FindGroup(const group_id& aGroup,
                                                     generation aEpoch) const;

  // What happens to calls.
  /// A call has come for a service and model.
  void NoteCall(const service_name& aService, const routes::model_name& aModel, time_point aNow);
  void Started(const instance_id& aUpstream, std::uint64_t aPromptTokens);
  /// Records the first byte of an answer.
  void Answered(const instance_id& aUpstream, std::uint64_t aPromptTokens, time_point aNow);
  void Heard(const instance_id& aUpstream, time_point aNow);
  /// Records the time between two events, or of a whole answer of a plain service.
  void NotePace(const instance_id& aUpstream, duration aSpan);
  /// Records how slow an upstream says to be, as a factor on what is expected.
  void NoteToldPace(const instance_id& aUpstream, double aFactor, time_point aNow);
  void Ended(const instance_id& aUpstream, std::uint64_t aPendingTokens);
  /// Records whether an upstream did what it was asked.
  void NoteOutcome(const instance_id& aUpstream, bool aGood, time_point aNow);
  void NoteLoad(const instance_id& aUpstream, const upstream_load& aLoad, time_point aNow);
  /// Keeps new calls away from an upstream.
  void Avoid(const instance_id& aUpstream, time_point aUntil);
  /// Keeps new calls away from a group for good; a later epoch is another group.
  void MarkBroken(const group_id& aGroup, generation aEpoch);
  /// Takes the mark back when the group proves whole.
  void ClearBroken(const group_id& aGroup, generation aEpoch);
  [[nodiscard]] bool IsBroken(const group_id& aGroup, generation aEpoch) const;
  [[nodiscard]] const upstream_record* Record(const instance_id& aUpstream) const;

private:
  /// How the groups of one model work.
  struct model_engine
  {
    const routes::engine_profile& profile;
    double pace = 1;
    double slots = 1;
  };

  upstream_record& Touch(const instance_id& aUpstream);
  [[nodiscard]] bool MayTake(const fleet::engine_group& aGroup, time_point aNow) const;
  [[nodiscard]] bool MayTake(const fleet::instance& aUpstream, time_point aNow) const;
  [[nodiscard]] double GroupCostMs(const fleet::engine_group& aGroup,
                                   const model_engine& aEngine,
                                   std::uint64_t aPromptTokens,
                                   time_point aNow) const;
  /// Factor by which a group is slower than expected, from what is told and what was seen.
  [[nodiscard]] double Slowness(const fleet::engine_group& aGroup,
                                double aExpectedGapMs,
                                time_point aNow) const;
  /// Time that one more call would wait for a place in a group.
  [[nodiscard]] double WaitMs(const fleet::engine_group& aGroup,
                              const model_engine& aEngine,
                              time_point aNow) const;
  /// What one more call adds to a group's cost.
  [[nodiscard]] static double SlopeMs(const model_engine& aEngine);
  /// Calls that other routers give out before news of them comes here.
  [[nodiscard]] double UnseenCalls(const choice_request& aRequest,
                                   const std::vector<const fleet::engine_group*>& aGroups,
                                   time_point aNow) const;
  [[nodiscard]] double PlainCost(const fleet::instance& aUpstream, time_point aNow) const;
  [[nodiscard]] std::optional<instance_id> ChooseGroup(const choice_request& aRequest,
                                                       const model_engine& aEngine,
                                                       time_point aNow) const;
  [[nodiscard]] std::optional<instance_id> ChoosePlain(const choice_request& aRequest,
                                                       time_point aNow) const;
  /// Calls that an upstream is estimated to hold, from all routers.
  [[nodiscard]] double EstimatedCalls(const instance_id& aUpstream, time_point aNow) const;
  [[nodiscard]] double FailureRate(const instance_id& aUpstream, time_point aNow) const;

  zone_name mZone;
  std::shared_ptr<const routes::route_table> mRoutes;
  fleet::fleet_view mFleet;
  std::vector<fleet::engine_group> mGroups;
  std::unordered_map<instance_id, std::size_t> mGroupByHead;
  std::unordered_map<instance_id, upstream_record> mRecords;
  std::set<std::pair<group_id, generation>> mBroken;
  std::size_t mRouters = 1;
  std::map<std::pair<service_name, routes::model_name>, call_rate> mRates;
};

} // namespace persimmon::dispatch
