#pragma once

#include "assembly/assemblyaction.h"
#include "assembly/assemblyoptions.h"
#include "assembly/domainassignment.h"
#include "assembly/instancestate.h"
#include "assembly/managedgroup.h"
#include "assembly/orderoutcome.h"
#include "base/clock.h"
#include "fleet/fleetview.h"
#include "routes/serviceprofile.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmon::assembly {

/// Forms the groups of one engine service, opens them, and dissolves them when a member is lost or
/// drains. Acts only while it is the leader. Performs no I/O: it receives reports and order
/// outcomes together with the current time and returns the actions to perform.
///
/// Two invariants hold even when messages are lost or delayed:
/// - A group is ordered to open only after each member has reported that it is ready in this group
///   and epoch.
/// - An instance is ordered to join a group only when it is known to be in none, or in one whose
///   head has left it, at the number of accepted orders that the order names: each membership
///   begins and ends with an accepted order. However late the order is carried out, it takes no
///   member from a group that can serve.
///
/// An order may be carried out long after it was sent. Each order therefore names the number of
/// orders that its instance has accepted, so that it has no effect once a later one was accepted.
/// An instance of which a leader asks nothing takes late orders of former leaders still.
class group_controller
{
public:
  group_controller(routes::service_profile aService, assembly_options aOptions);

  /// Replaces the profile of the service.
  void Configure(const routes::service_profile& aService);
  /// Sets the longest time for which callers wait for an event of a stream: what a silent group
  /// runs is not cut off before it.
  void SetCallerPatience(duration aPatience) { mCallerPatience = aPatience; }
  /// Starts acting as the leader and discards the state of earlier leadership. Each order carries
  /// the token, and the ids of new groups contain it.
  void StartLeading(fencing_token aToken, time_point aNow);
  /// Stops acting as the leader and forgets all groups and pending orders.
  void StopLeading();
  [[nodiscard]] bool IsLeading() const { return mIsLeading; }
  /// Sets the current demand for each model, in any unit; empty when there is none.
  void SetDemand(std::map<routes::model_name, double> aDemand)
  {
    mDemandByModel = std::move(aDemand);
  }

  /// Sets the availability zones that are emptied: their groups stay, but count as no supply, and
  /// no new ones are formed there.
  void SetEmptiedZones(std::set<zone_name> aZones) { mEmptiedZones = std::move(aZones); }

  /// Records the result of a probe of an instance.
  void HandleReport(const instance_id& aInstance,
                    const fleet::report_result& aResult,
                    time_point aNow);
  /// Records the outcome of an order; ignored when the order is not pending.
  void HandleOrderOutcome(order_id aOrder, order_outcome aOutcome, time_point aNow);
  /// Records that the group of a head was at work at a time.
  void RecordActivity(const instance_id& aHead, time_point aAt);
  /// Records that a router suspects a group to be stalled: probes its members at once and counts
  /// them as unresponsive after fewer missed probes.
  void SuspectGroup(const group_id& aGroup, generation aEpoch, time_point aNow);

  /// Compares the wanted groups with the fleet and returns the actions to perform now; empty when
  /// this process is not the leader.
  std::vector<assembly_action> Reconcile(const fleet::fleet_view& aFleet, time_point aNow);

  [[nodiscard]] const std::vector<managed_group>& Groups() const { return mGroups; }
  /// Returns true when an instance is unknown or has missed several probes in a row.
  [[nodiscard]] bool IsUnresponsive(const instance_id& aInstance) const;

private:
  /// An order whose outcome has not been reported.
  struct pending_order
  {
    engine_order order;
    time_point sentAt;
    /// True for the first order to leave a group to an instance that reported to be its member:
    /// done, it has ended the membership.
    bool endsMembership = false;
  };
  using actions = std::vector<assembly_action>;

  // State of the instances, and groups of a former leader.

  /// Adds new instances, resets those that restarted, and removes those that are neither
  /// registered nor a member of a group.
  void UpdateInstanceStates(const fleet::fleet_view& aFleet, time_point aNow);
  /// Probes each instance whose next probe is due.
  void ProbeInstances(time_point aNow, actions& aActions);
  /// Returns how many of the wanted probes may be sent now.
  std::size_t TakeProbes(std::size_t aWanted, time_point aNow);
  /// Returns the time from an answer of an instance to its next probe.
  [[nodiscard]] duration ProbeInterval(const instance_id& aInstance) const;
  /// Returns true when so few instances answer that the connection of this process is probably
  /// faulty.
  [[nodiscard]] bool LacksQuorum(const fleet::fleet_view& aFleet) const;
  /// Adopts the groups of a former leader.
  void AdoptGroups(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions);
  /// Returns whether a group may be adopted now: it is whole and the reports of its members are
  /// current, or the grace period is over.
  [[nodiscard]] bool MayAdopt(const fleet::engine_group& aGroup,
                              const fleet::fleet_view& aFleet,
                              time_point aNow) const;
  /// Adopts one group in the stage that its members report. An incomplete group may finish what it
  /// runs.
  void AdoptGroup(const fleet::engine_group& aGroup,
                  const fleet::fleet_view& aFleet,
                  time_point aNow,
                  actions& aActions);

  // Stages of a group.

  /// Sends the orders and performs the stage changes that are due for a group.
  void AdvanceGroup(managed_group& aGroup,
                    const fleet::fleet_view& aFleet,
                    time_point aNow,
                    actions& aActions);
  /// Orders members to join until they accept. Ends the group when they are not all ready in time.
  /// Members of an adopted group are ordered to join as well, which changes nothing but shuts out
  /// orders of former leaders: the group is opened once all have answered.
  void AdvanceForming(managed_group& aGroup,
                      const fleet::fleet_view& aFleet,
                      time_point aNow,
                      actions& aActions);
  /// Orders a member to join when it has to be told and the latest order is not too recent.
  void OrderToJoin(const managed_group& aGroup,
                   managed_member& aMember,
                   time_point aNow,
                   actions& aActions);
  /// Orders the head to open until it does. Starts to close the group when a member drains.
  void AdvanceOpeningOrServing(managed_group& aGroup,
                               const fleet::fleet_view& aFleet,
                               time_point aNow,
                               actions& aActions);
  /// Orders the head to close and ends the group when it has.
  void AdvanceClosing(managed_group& aGroup,
                      const fleet::fleet_view& aFleet,
                      time_point aNow,
                      actions& aActions);
  /// Orders members to leave and frees those that have left.
  void AdvanceReleasing(managed_group& aGroup,
                        const fleet::fleet_view& aFleet,
                        time_point aNow,
                        actions& aActions);
  /// Ends a group that has not been opened by this leader. A former leader may have ordered an
  /// adopted one to open, so its head has to leave first.
  void AbandonForming(managed_group& aGroup,
                      const std::string& aCause,
                      time_point aNow,
                      actions& aActions);
  /// Orders heads of ended groups to leave: late orders, also to a former life of the head, may let
  /// it serve. Where the head has not left, orders the other members, too.
  void ReleaseMembersOfEndedGroups(const fleet::fleet_view& aFleet,
                                   time_point aNow,
                                   actions& aActions);
  /// Enters the stage releasing.
  void StartReleasing(managed_group& aGroup,
                      const std::string& aCause,
                      time_point aNow,
                      actions& aActions);
  /// Frees all members of a group and removes them from it, which marks the group as ended.
  /// aHasHeadLeft tells whether its head is known to have left it.
  void EndGroup(managed_group& aGroup,
                const std::string& aCause,
                bool aHasHeadLeft,
                time_point aNow,
                actions& aActions);
  /// Removes all members of a group of which nothing is known any more. It is adopted again when
  /// one of them is back.
  void ForgetGroup(managed_group& aGroup,
                   const std::string& aCause,
                   time_point aNow,
                   actions& aActions);
  /// Updates the state of an instance whose membership has ended.
  void FreeMember(const managed_group& aGroup, const managed_member& aMember, time_point aNow);
  /// Returns true when an instance has itself confirmed that it left a group, or has restarted.
  [[nodiscard]] bool HasLeft(const managed_group& aGroup,
                             const managed_member& aMember,
                             const fleet::fleet_view& aFleet) const;
  /// Returns true when an instance is known to have restarted since it was ordered to join.
  [[nodiscard]] bool HasRestarted(const managed_member& aMember) const;
  /// Returns what proves that a member is lost; empty when nothing does.
  [[nodiscard]] std::string ProvedLossCause(const managed_group& aGroup,
                                            const managed_member& aMember,
                                            const fleet::fleet_view& aFleet) const;
  /// Gives a group up of which a member is lost.
  void EndAfterLoss(managed_group& aGroup,
                    const std::string& aCause,
                    bool aIsProved,
                    time_point aNow,
                    actions& aActions);
  /// Returns true when an instance may stop listening before its group has finished. aEntry is its
  /// registry entry, nullptr for none.
  [[nodiscard]] static bool IsLeaving(const instance_state& aState, const fleet::instance* aEntry);
  /// Returns true when a member has answered for a while. Without one, a release would set nobody
  /// free, and this process may merely not reach the group.
  [[nodiscard]] bool HasSurvivor(const managed_group& aGroup, time_point aNow) const;
  /// Fills in the head of an adopted group once it is registered.
  void FindMissingHead(managed_group& aGroup, const fleet::fleet_view& aFleet) const;
  /// Returns true when all members of a group that was given up for silence have answered since,
  /// and none was ordered to leave.
  [[nodiscard]] bool IsWhole(const managed_group& aGroup, const fleet::fleet_view& aFleet) const;
  /// Returns why a member without answers counts as lost; empty when it does not. A group that this
  /// leader forms runs nothing, so it does not wait for a silent member.
  [[nodiscard]] std::string SilenceCause(const managed_group& aGroup,
                                         const instance_id& aMember,
                                         const fleet::fleet_view& aFleet,
                                         time_point aNow) const;
  /// Returns the time from aSince, or from the latest work of its group, in which nothing showed
  /// that a member lives.
  [[nodiscard]] duration TimeWithoutSign(const managed_group& aGroup,
                                         const instance_state& aState,
                                         time_point aSince,
                                         time_point aNow) const;
  /// Returns true when the head has reported since a time that nothing waits or runs at its group.
  [[nodiscard]] bool RunsNothing(const managed_group& aGroup, time_point aSince) const;
  /// Returns the latest known membership of an instance, from its report or its registry entry;
  /// empty when it is in no group.
  [[nodiscard]] std::optional<fleet::group_membership> MembershipOf(
    const instance_id& aInstance,
    const fleet::fleet_view& aFleet) const;
  /// Returns true when the latest known membership of an instance is in the given group and epoch.
  [[nodiscard]] bool IsMemberOf(const group_id& aGroup,
                                generation aEpoch,
                                const instance_id& aInstance,
                                const fleet::fleet_view& aFleet) const;

  // New groups.

  /// Forms groups of free instances and loads weights onto those that remain.
  void FormGroups(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions);
  /// Forms one group of instances of a domain that hold the weights of its model, for the model
  /// with the lowest relative supply. Returns false when no domain has enough of them.
  bool FormWarmGroup(const std::vector<const fleet::instance*>& aFreeInstances,
                     time_point aNow,
                     actions& aActions);
  /// Forms one group of instances of a domain without weights, for the model with the lowest
  /// relative supply. Returns false when no domain has enough of them or when their loads may not
  /// start yet.
  bool FormColdGroup(const std::vector<const fleet::instance*>& aFreeInstances,
                     time_point aNow,
                     actions& aActions);
  /// Returns the instances that neither hold nor load any weights.
  [[nodiscard]] std::vector<const fleet::instance*> ColdInstances(
    const std::vector<const fleet::instance*>& aFreeInstances) const;
  /// Returns the model that cold instances of a domain should load: the assigned one, or else the
  /// one with the lowest supply, where models that lack few members of a group are preferred.
  /// nullptr when the service has no models.
  [[nodiscard]] const routes::model_profile* ChooseModelToStage(
    const std::vector<const fleet::instance*>& aFreeInstances,
    const domain_id& aDomain) const;
  /// Orders an instance to load the weights of a model. Does nothing without a model or when the
  /// load may not start yet.
  void StageWeights(const fleet::instance& aInstance,
                    const routes::model_profile* aModel,
                    time_point aNow,
                    actions& aActions);
  /// A free instance without weights, the model that it should load, and the gain in relative
  /// serving capacity per millisecond of loading.
  struct staging_candidate
  {
    const fleet::instance* instance = nullptr;
    const routes::model_profile* model = nullptr;
    double gainPerMs = 0;
  };
  /// Returns the loads that free instances should start, in descending order of their gain.
  [[nodiscard]] std::vector<staging_candidate> RankStagingCandidates(
    const std::vector<const fleet::instance*>& aFreeInstances) const;
  /// Starts loads on free instances, and replaces weights that do not belong to the model of the
  /// domain.
  void StageIdleInstances(const std::vector<const fleet::instance*>& aFreeInstances,
                          time_point aNow,
                          actions& aActions);
  /// Requests a log record of the idle instances when they have changed.
  void RecordIdleInstances(const std::vector<const fleet::instance*>& aFreeInstances,
                           time_point aNow,
                           actions& aActions);
  /// Assigns the domains to the models again when instances were added since the last time.
  void AssignDomains(const fleet::fleet_view& aFleet, time_point aNow);
  /// Returns the state of each domain of the service.
  [[nodiscard]] std::vector<domain_inventory> Inventories(const fleet::fleet_view& aFleet) const;
  /// Gives a domain to another model when demand and room differ clearly, and lets its groups make
  /// way one after the other: their members load the other weights while they serve, and the group
  /// is closed once all have them.
  void Rebalance(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions);
  /// Loads the weights of its domain's model onto the members of a group of another one, and closes
  /// the group when they have them.
  void PrepareMove(managed_group& aGroup,
                   const fleet::fleet_view& aFleet,
                   time_point aNow,
                   actions& aActions);
  /// Returns whether the domain of an instance was given to another model than the given one.
  [[nodiscard]] bool HasMovedFrom(const domain_id& aDomain, const routes::model_name& aModel) const;
  /// Returns the model that an instance is staging or that its group serves; empty when there is
  /// none.
  [[nodiscard]] routes::model_name LoadingModel(const instance_id& aInstance) const;
  /// Returns the model of a domain; nullptr when it has none or when the domains do not cover all
  /// models, so that models share them.
  [[nodiscard]] const routes::model_profile* AssignedModel(const domain_id& aDomain) const;
  /// Returns true when the initial registration of instances is finished, so that the domains can
  /// be assigned by their full sizes.
  [[nodiscard]] bool RegistrationSettled(time_point aNow) const;
  /// Creates a group with a new id and epoch. Its orders are sent by the next reconciliation.
  void CreateGroup(const routes::model_profile& aModel,
                   const std::vector<const fleet::instance*>& aMembers,
                   time_point aNow,
                   actions& aActions);
  /// Returns the responsive instances that are in no group and are neither draining nor ineligible.
  [[nodiscard]] std::vector<const fleet::instance*> FreeInstances(const fleet::fleet_view& aFleet,
                                                                  time_point aNow) const;
  /// Returns true unless an instance is known to be in no group, or in one that ended with the
  /// leaving of its head.
  [[nodiscard]] bool MayBeInGroup(const instance_id& aInstance,
                                  const fleet::fleet_view& aFleet) const;
  /// Returns true when an instance has the weights of a model staged or was ready with that model
  /// in its last group.
  [[nodiscard]] bool HoldsWeights(const fleet::instance& aInstance,
                                  const routes::model_name& aModel) const;
  /// Returns the number of instances that serve or load a model, divided by its demand share.
  [[nodiscard]] double RelativeSupply(const routes::model_name& aModel) const;
  /// Returns the fraction of the demand that is for a model, 0 to 1. Models without a measured
  /// demand count with the share of their profile.
  [[nodiscard]] double DemandShare(const routes::model_name& aModel) const;
  /// Returns the number of instances that load weights from the weight store.
  [[nodiscard]] std::size_t CountRunningLoads(time_point aNow) const;
  /// Returns true when the rate limit and the limit of concurrent loads permit aCount loads.
  [[nodiscard]] bool MayStartLoads(std::size_t aCount, time_point aNow) const;
  /// Returns the content of the token bucket that limits the rate of loads. Its capacity is at
  /// least aCount, so that aCount loads can start together.
  [[nodiscard]] double AvailableLoadTokens(std::size_t aCount, time_point aNow) const;
  /// Takes aCount tokens from the bucket; its content may become negative.
  void TakeLoadTokens(std::size_t aCount, time_point aNow);

  /// Returns whether an order to an instance may be sent now: the instance is known, and what it
  /// has accepted as far as the order depends on it.
  [[nodiscard]] bool MaySendOrder(const instance_id& aInstance, order_kind aKind) const;
  /// Sends an order with the current fencing token. Returns false when it may not be sent now.
  bool SendOrder(engine_order aOrder, time_point aNow, actions& aActions);
  /// Updates what is known of the orders that an instance has accepted, and of its membership.
  static void RecordAcceptance(const pending_order& aPending,
                               order_outcome aOutcome,
                               instance_state& aState);
  /// Returns whether an order is the first to leave a group to an instance that reported to be its
  /// member.
  [[nodiscard]] static bool EndsMembership(const engine_order& aOrder,
                                           const instance_state& aState);
  /// Requests a log record of a decision about a group.
  void RecordDecision(record_decision::decision_kind aDecision,
                      const managed_group& aGroup,
                      const std::string& aCause,
                      actions& aActions) const;
  /// Returns a group; nullptr when it is not managed here.
  managed_group* FindGroup(const group_id& aGroup, generation aEpoch);
  /// Returns the managed group that an instance is a member of; nullptr when there is none.
  [[nodiscard]] const managed_group* FindGroupOf(const instance_id& aInstance) const;

  routes::service_profile mService;
  assembly_options mOptions;
  duration mCallerPatience;
  bool mIsLeading = false;
  fencing_token mToken;
  time_point mLeadingSince;
  time_point mLastInstanceAddedAt;
  time_point mIdleCheckedAt{ INT64_MIN / 2 };
  /// Summary of the latest record of idle instances.
  std::string mLastIdleSummary;
  std::uint64_t mLastOrderId = 0;
  /// Number in the id of the latest group under the current token.
  std::uint64_t mLastGroupNumber = 0;
  /// Highest epoch of any group that was seen or created.
  std::uint64_t mHighestEpoch = 0;
  std::map<instance_id, instance_state> mInstanceStates;
  std::vector<managed_group> mGroups;
  /// Groups that have ended, and whether their heads had left them. Where these had, and are not
  /// shown as members again, the other members may join another group at once.
  std::map<std::pair<group_id, generation>, bool> mEndedGroups;
  /// Those of them whose heads are shown as members again.
  std::set<std::pair<group_id, generation>> mEndedGroupsWithHead;
  std::map<order_id, pending_order> mPendingOrders;
  domain_assignment mDomainAssignment;
  time_point mDomainsAssignedAt{ INT64_MIN / 2 };
  /// Domains that were given to another model.
  std::set<domain_id> mMovedDomains;
  time_point mRebalancedAt{ INT64_MIN / 2 };
  /// True once an instance has reported a call: from then on loads are limited.
  bool mHasTraffic = false;
  std::map<routes::model_name, double> mDemandByModel;
  std::set<zone_name> mEmptiedZones;
  /// Latest time at which so few instances answered that silence told nothing.
  time_point mLastWithoutQuorumAt{ INT64_MIN / 2 };
  /// Content of the token bucket at mLoadTokensAt.
  double mLoadTokens = 0;
  time_point mLoadTokensAt{ INT64_MIN / 2 };
  /// Probes that may be sent at mProbesFilledAt, where their rate is limited.
  double mProbesLeft = 0;
  time_point mProbesFilledAt{ INT64_MIN / 2 };
};

} // namespace persimmon::assembly
