#pragma once

#include "assembly/assemblyaction.h"
#include "assembly/assemblyoptions.h"
#include "assembly/formation.h"
#include "assembly/hostrecord.h"
#include "assembly/modelhomes.h"
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
class assembler
{
public:
  assembler(routes::service_profile aService, assembly_options aOptions);

  /// Takes a later declaration of the same service.
  void Configure(const routes::service_profile& aService);
  /// Begins to lead. Every order carries the token; names of new groups are made of it.
  void Lead(fencing_token aToken, time_point aNow);
  void StopLeading();
  [[nodiscard]] bool Leads() const { return mLeads; }
  /// Sets the work that callers ask of each model, in any unit.
  void SetDemand(std::map<routes::model_name, double> aDemand) { mDemand = std::move(aDemand); }

  /// Takes an instance's answer to a question for its state; nothing when none came.
  void NoteReport(const instance_id& aInstance,
                  const std::optional<fleet::engine_report>& aReport,
                  time_point aNow);
  void NoteOutcome(order_id aOrder, order_outcome aOutcome, time_point aNow);
  /// A router saw a group stand still.
  void Suspect(const group_id& aGroup, generation aEpoch, time_point aNow);

  /// Decides what to do now.
  std::vector<assembly_action> Step(const fleet::fleet_view& aFleet, time_point aNow);

  [[nodiscard]] const std::vector<formation>& Formations() const { return mFormations; }
  [[nodiscard]] bool IsLost(const instance_id& aInstance) const;

private:
  struct given_order
  {
    engine_order order;
    time_point at;
  };
  using actions = std::vector<assembly_action>;

  // Keeping up with what instances say.
  void UpdateHosts(const fleet::fleet_view& aFleet, time_point aNow);
  void Ask(time_point aNow, actions& aActions);
  [[nodiscard]] duration AskInterval(const instance_id& aInstance) const;
  [[nodiscard]] bool CutOff(const fleet::fleet_view& aFleet) const;
  void Adopt(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions);
  void AdoptGroup(const fleet::engine_group& aGroup,
                  const fleet::fleet_view& aFleet,
                  time_point aNow,
                  actions& aActions);

  // The course of a formation.
  void Advance(formation& aFormation,
               const fleet::fleet_view& aFleet,
               time_point aNow,
               actions& aActions);
  void AdvanceForming(formation& aFormation,
                      const fleet::fleet_view& aFleet,
                      time_point aNow,
                      actions& aActions);
  void AdvanceOpening(formation& aFormation,
                      const fleet::fleet_view& aFleet,
                      time_point aNow,
                      actions& aActions);
  void AdvanceClosing(formation& aFormation,
                      const fleet::fleet_view& aFleet,
                      time_point aNow,
                      actions& aActions);
  void AdvanceReleasing(formation& aFormation,
                        const fleet::fleet_view& aFleet,
                        time_point aNow,
                        actions& aActions);
  void Release(formation& aFormation,
               const std::string& aCause,
               time_point aNow,
               actions& aActions);
  void Free(formation& aFormation, const std::string& aCause, time_point aNow, actions& aActions);
  void FreeMember(const formation& aFormation, const formation_member& aMember, time_point aNow);
  /// True when an instance is a member of a formation no more, by its own word.
  [[nodiscard]] bool HasLeft(const formation& aFormation,
                             const formation_member& aMember,
                             const fleet::fleet_view& aFleet) const;
  /// Returns why a member no longer is one, or an empty text.
  [[nodiscard]] std::string Lost(const formation& aFormation,
                                 const formation_member& aMember,
                                 const fleet::fleet_view& aFleet) const;
  [[nodiscard]] std::optional<fleet::membership> MembershipOf(
    const instance_id& aInstance,
    const fleet::fleet_view& aFleet) const;
  [[nodiscard]] bool IsIn(const group_id& aGroup,
                          generation aEpoch,
                          const instance_id& aInstance,
                          const fleet::fleet_view& aFleet) const;

  // New groups.
  void Form(const fleet::fleet_view& aFleet, time_point aNow, actions& aActions);
  bool FormWarm(const std::vector<const fleet::instance*>& aFree,
                time_point aNow,
                actions& aActions);
  bool FormCold(const std::vector<const fleet::instance*>& aFree,
                time_point aNow,
                actions& aActions);
  /// Returns those that hold no weights and load none.
  [[nodiscard]] std::vector<const fleet::instance*> Cold(
    const std::vector<const fleet::instance*>& aFree) const;
  [[nodiscard]] const routes::model_profile* ModelToStage(
    const std::vector<const fleet::instance*>& aFree,
    const domain_name& aDomain) const;
  void Stage(const fleet::instance& aInstance,
             const routes::model_profile* aModel,
             time_point aNow,
             actions& aActions);
  /// A free instance without weights, the model that it should load, and what a millisecond of
  /// loading gains in instances that serve.
  struct staging_wish
  {
    const fleet::instance* instance = nullptr;
    const routes::model_profile* model = nullptr;
    double worth = 0;
  };
  /// Returns what free instances should load, what gains most first.
  [[nodiscard]] std::vector<staging_wish> StagingWishes(
    const std::vector<const fleet::instance*>& aFree) const;
  void StageIdle(const std::vector<const fleet::instance*>& aFree,
                 time_point aNow,
                 actions& aActions);
  void NoteIdle(const std::vector<const fleet::instance*>& aFree,
                time_point aNow,
                actions& aActions);
  /// Divides the domains among the models again when instances have come.
  void DivideDomains(const fleet::fleet_view& aFleet, time_point aNow);
  /// Returns the model that an instance loads or is about to; empty when it is none.
  [[nodiscard]] routes::model_name Loading(const instance_id& aInstance) const;
  /// Returns the model of a domain; nullptr when models share domains.
  [[nodiscard]] const routes::model_profile* HomeOf(const domain_name& aDomain) const;
  /// The first instances have all been seen, so that domains can be divided well.
  [[nodiscard]] bool Settled(time_point aNow) const;
  void StartFormation(const routes::model_profile& aModel,
                      const std::vector<const fleet::instance*>& aMembers,
                      time_point aNow,
                      actions& aActions);
  [[nodiscard]] std::vector<const fleet::instance*> FreeInstances(const fleet::fleet_view& aFleet,
                                                                  time_point aNow) const;
  /// True when an instance is bound to a group that has not ended.
  [[nodiscard]] bool IsBound(const fleet::instance& aInstance,
                             const fleet::fleet_view& aFleet) const;
  [[nodiscard]] bool Holds(const fleet::instance& aInstance,
                           const routes::model_name& aModel) const;
  /// Instances that serve or are meant for a model, against what its demand asks for.
  [[nodiscard]] double Supply(const routes::model_name& aModel) const;
  [[nodiscard]] double WantedPart(const routes::model_name& aModel) const;
  [[nodiscard]] std::size_t RunningLoads(time_point aNow) const;
  [[nodiscard]] bool MayLoad(std::size_t aCount, time_point aNow) const;
  /// Loads that the rate allows at once, of which aCount are wanted together.
  [[nodiscard]] double LoadTokens(std::size_t aCount, time_point aNow) const;
  void CountLoads(std::size_t aCount, time_point aNow);

  void Give(engine_order aOrder, time_point aNow, actions& aActions);
  void Note(note_decision::what aDecision,
            const formation& aFormation,
            const std::string& aCause,
            actions& aActions) const;
  formation* Find(const group_id& aGroup, generation aEpoch);
  /// Returns the formation that an instance is a member of; nullptr when there is none.
  [[nodiscard]] const formation* FormationOf(const instance_id& aInstance) const;

  routes::service_profile mService;
  assembly_options mOptions;
  bool mLeads = false;
  fencing_token mToken;
  time_point mLeadsSince;
  time_point mLastNewHost;
  time_point mIdleNotedAt{ INT64_MIN / 2 };
  std::string mIdleNoted;
  std::uint64_t mLastOrder = 0;
  std::uint64_t mLastGroup = 0;
  std::uint64_t mHighestEpoch = 0;
  std::map<instance_id, host_record> mHosts;
  std::vector<formation> mFormations;
  /// Groups that have ended; members that still report them are free.
  std::set<std::pair<group_id, generation>> mEnded;
  std::map<order_id, given_order> mGiven;
  model_homes mHomes;
  time_point mDividedAt{ INT64_MIN / 2 };
  std::map<routes::model_name, double> mDemand;
  double mLoadTokens = 0;
  time_point mLoadTokensAt{ INT64_MIN / 2 };
};

} // namespace persimmon::assembly
