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

/// Forms the groups of one engine service, opens them, and takes them apart when a member is lost
/// or leaves. Acts only while it leads. Pure: it is told of reports and outcomes with the time and
/// returns what to do.
///
/// Two promises hold whatever is lost or late: a group is told to open only after every member was
/// seen ready under its name and epoch, and an instance is asked to join another group only after
/// it or the head of its former one has left that group, by its own word.
class group_controller
{
public:
  group_controller(routes::service_profile aService, assembly_options aOptions);

  /// Takes a later declaration of the same service.
  void Configure(const routes::service_profile& aService);
  /// Begins to lead. Every order carries the token; names of new groups are made of it.
  void StartLeading(fencing_token aToken, time_point aNow);
  void StopLeading();
  [[nodiscard]] bool IsLeading() const { return mIsLeading; }
  /// Sets the work that callers ask of each model, in any unit.
  void SetDemand(std::map<routes::model_name, double> aDemand)
  {
    mDemandByModel = std::move(aDemand);
  }

  /// Takes an instance's answer to a question for its state; nothing when none came.
  void HandleReport(const instance_id& aInstance,
                    const std::optional<fleet::engine_report>& aReport,
                    time_point aNow);
  void HandleOrderOutcome(order_id aOrder, order_outcome aOutcome, time_point aNow);
  /// A router saw a group stand still.
  void SuspectGroup(const group_id& aGroup, generation aEpoch, time_point aNow);

  /// Decides what to do now.
  std::vector<assembly_action> Reconcile(const fleet::fleet_view& aFleet, time_point aNow);

  [[nodiscard]] const std::vector<managed_group>& Groups() const { return mGroups; }
  [[nodiscard]] bool IsUnresponsive(const instance_id& aInstance) const;

private:
  struct pending_order
  {
    engine_order order;
    time_point sentAt;
  };
  using actions = std::vector<assembly_action>;

  // Keeping up with what instances say.
  void UpdateInstanceStates(const fleet::fleet_view& aFleet, time_point aNow);
  void ProbeInstances(time_point aNow, actions& aActions);
  [[nodiscard]] duration ProbeInterval(const instance_id& aInstance) const;
  [[nodiscard]] bool LacksQuorum(const fleet::fleet_view& aFleet) const;
  void AdoptGroups(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions);
  void AdoptGroup(const fleet::engine_group& aGroup,
                  const fleet::fleet_view& aFleet,
                  time_point aNow,
                  actions& aActions);

  // The course of a formation.
  void AdvanceGroup(managed_group& aGroup,
                    const fleet::fleet_view& aFleet,
                    time_point aNow,
                    actions& aActions);
  void AdvanceForming(managed_group& aGroup,
                      const fleet::fleet_view& aFleet,
                      time_point aNow,
                      actions& aActions);
  void AdvanceOpeningOrServing(managed_group& aGroup,
                               const fleet::fleet_view& aFleet,
                               time_point aNow,
                               actions& aActions);
  void AdvanceClosing(managed_group& aGroup,
                      const fleet::fleet_view& aFleet,
                      time_point aNow,
                      actions& aActions);
  void AdvanceReleasing(managed_group& aGroup,
                        const fleet::fleet_view& aFleet,
                        time_point aNow,
                        actions& aActions);
  void StartReleasing(managed_group& aGroup,
                      const std::string& aCause,
                      time_point aNow,
                      actions& aActions);
  void EndGroup(managed_group& aGroup,
                const std::string& aCause,
                time_point aNow,
                actions& aActions);
  void FreeMember(const managed_group& aGroup, const managed_member& aMember, time_point aNow);
  /// True when an instance is a member of a formation no more, by its own word.
  [[nodiscard]] bool HasLeft(const managed_group& aGroup,
                             const managed_member& aMember,
                             const fleet::fleet_view& aFleet) const;
  /// Returns why a member no longer is one, or an empty text.
  [[nodiscard]] std::string LossCause(const managed_group& aGroup,
                                      const managed_member& aMember,
                                      const fleet::fleet_view& aFleet) const;
  [[nodiscard]] std::optional<fleet::group_membership> MembershipOf(
    const instance_id& aInstance,
    const fleet::fleet_view& aFleet) const;
  [[nodiscard]] bool IsMemberOf(const group_id& aGroup,
                                generation aEpoch,
                                const instance_id& aInstance,
                                const fleet::fleet_view& aFleet) const;

  // New groups.
  void FormGroups(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions);
  bool FormWarmGroup(const std::vector<const fleet::instance*>& aFree,
                     time_point aNow,
                     actions& aActions);
  bool FormColdGroup(const std::vector<const fleet::instance*>& aFree,
                     time_point aNow,
                     actions& aActions);
  /// Returns those that hold no weights and load none.
  [[nodiscard]] std::vector<const fleet::instance*> ColdInstances(
    const std::vector<const fleet::instance*>& aFree) const;
  [[nodiscard]] const routes::model_profile* ChooseModelToStage(
    const std::vector<const fleet::instance*>& aFree,
    const domain_name& aDomain) const;
  void StageWeights(const fleet::instance& aInstance,
                    const routes::model_profile* aModel,
                    time_point aNow,
                    actions& aActions);
  /// A free instance without weights, the model that it should load, and what a millisecond of
  /// loading gains in instances that serve.
  struct staging_candidate
  {
    const fleet::instance* instance = nullptr;
    const routes::model_profile* model = nullptr;
    double gainPerMs = 0;
  };
  /// Returns what free instances should load, what gains most first.
  [[nodiscard]] std::vector<staging_candidate> RankStagingCandidates(
    const std::vector<const fleet::instance*>& aFree) const;
  void StageIdleInstances(const std::vector<const fleet::instance*>& aFree,
                          time_point aNow,
                          actions& aActions);
  void RecordIdleInstances(const std::vector<const fleet::instance*>& aFree,
                           time_point aNow,
                           actions& aActions);
  /// Divides the domains among the models again when instances have come.
  void AssignDomains(const fleet::fleet_view& aFleet, time_point aNow);
  /// Returns the model that an instance loads or is about to; empty when it is none.
  [[nodiscard]] routes::model_name LoadingModel(const instance_id& aInstance) const;
  /// Returns the model of a domain; nullptr when models share domains.
  [[nodiscard]] const routes::model_profile* AssignedModel(const domain_name& aDomain) const;
  /// The first instances have all been seen, so that domains can be divided well.
  [[nodiscard]] bool RegistrationSettled(time_point aNow) const;
  void CreateGroup(const routes::model_profile& aModel,
                   const std::vector<const fleet::instance*>& aMembers,
                   time_point aNow,
                   actions& aActions);
  [[nodiscard]] std::vector<const fleet::instance*> FreeInstances(const fleet::fleet_view& aFleet,
                                                                  time_point aNow) const;
  /// True when an instance is bound to a group that has not ended.
  [[nodiscard]] bool IsBoundToGroup(const fleet::instance& aInstance,
                                    const fleet::fleet_view& aFleet) const;
  [[nodiscard]] bool HoldsWeights(const fleet::instance& aInstance,
                                  const routes::model_name& aModel) const;
  /// Instances that serve or are meant for a model, against what its demand asks for.
  [[nodiscard]] double RelativeSupply(const routes::model_name& aModel) const;
  [[nodiscard]] double DemandShare(const routes::model_name& aModel) const;
  [[nodiscard]] std::size_t CountRunningLoads(time_point aNow) const;
  [[nodiscard]] bool MayStartLoads(std::size_t aCount, time_point aNow) const;
  /// Loads that the rate allows at once, of which aCount are wanted together.
  [[nodiscard]] double AvailableLoadTokens(std::size_t aCount, time_point aNow) const;
  void TakeLoadTokens(std::size_t aCount, time_point aNow);

  void SendOrder(engine_order aOrder, time_point aNow, actions& aActions);
  void RecordDecision(record_decision::decision_kind aDecision,
                      const managed_group& aGroup,
                      const std::string& aCause,
                      actions& aActions) const;
  managed_group* FindGroup(const group_id& aGroup, generation aEpoch);
  /// Returns the formation that an instance is a member of; nullptr when there is none.
  [[nodiscard]] const managed_group* FindGroupOf(const instance_id& aInstance) const;

  routes::service_profile mService;
  assembly_options mOptions;
  bool mIsLeading = false;
  fencing_token mToken;
  time_point mLeadingSince;
  time_point mLastInstanceAddedAt;
  time_point mIdleCheckedAt{ INT64_MIN / 2 };
  std::string mLastIdleSummary;
  std::uint64_t mLastOrderId = 0;
  std::uint64_t mLastGroupNumber = 0;
  std::uint64_t mHighestEpoch = 0;
  std::map<instance_id, instance_state> mInstanceStates;
  std::vector<managed_group> mGroups;
  /// Groups that have ended; members that still report them are free.
  std::set<std::pair<group_id, generation>> mEndedGroups;
  std::map<order_id, pending_order> mPendingOrders;
  domain_assignment mDomainAssignment;
  time_point mDomainsAssignedAt{ INT64_MIN / 2 };
  std::map<routes::model_name, double> mDemandByModel;
  double mLoadTokens = 0;
  time_point mLoadTokensAt{ INT64_MIN / 2 };
};

} // namespace persimmon::assembly
