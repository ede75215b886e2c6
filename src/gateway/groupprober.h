#pragma once

#include "gateway/gatewaycontext.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/memberfault.h"
#include "gateway/recheckduty.h"
#include "gateway/reportrequest.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace persimmon::gateway {

/// Returns whether the members of a group are to be asked again, so that its mark is lifted or its
/// loss is proved. A group that drains runs calls, too; that of an incomplete one can't be told, as
/// not all of its members are known.
[[nodiscard]] inline bool
NeedsRecheck(const fleet::engine_group& aGroup, std::optional<fleet::fault_evidence> aMark)
{
  return aMark && (aGroup.IsServing() || (aGroup.complete && aGroup.draining &&
                                          *aMark == fleet::fault_evidence::silence));
}

/// Determines whether a stalled group has lost a member, by requesting the reports of all its
/// members. For use on the event loop's thread only.
template<gateway_dialect Dialect>
class group_prober
{
public:
  explicit group_prober(gateway_context& aContext)
    : mContext(aContext)
  {
  }

  /// Called when a group is found not to work, and once more when silence turns out to be proved a
  /// loss; never within ProbeGroupOf().
  std::function<void(const fleet::engine_group&, const member_fault&)> onBroken;
  /// Called when a group that was marked as broken proves to be whole.
  std::function<void(const fleet::engine_group&)> onRecovered;
  /// Called when the probe of a group starts.
  std::function<void(const fleet::engine_group&)> onSuspected;

  /// Probes the group of a head at which a call makes no progress. Does nothing when the group is
  /// already marked as broken or its head has sent data recently.
  void ProbeGroupOf(const instance_id& aHead);
  /// Sets the live gateways, this one included.
  void SetGateways(const router_id& aSelf, const std::vector<router_id>& aLive)
  {
    mDuty.SetGateways(aSelf, aLive);
  }
  /// Probes a group that another gateway has found to be broken, if this one is to ask: the news
  /// tells no evidence.
  void ProbeReportedGroup(const fleet::engine_group& aGroup)
  {
    if (MustAsk(aGroup)) {
      StartRound(aGroup, probe_order::head_first);
    }
  }
  /// Probes groups that are marked as broken again, a few at a time; call about once a second.
  void RecheckBrokenGroups();

private:
  /// Whom a probe asks at first.
  enum class probe_order
  {
    all_at_once,
    /// The other members only once the head has reported: while it is silent, the group stays
    /// marked whatever they say.
    head_first
  };

  /// One probe of all members of a group.
  struct probe_round
  {
    fleet::engine_group group;
    /// Members that are asked once those that are pending have reported.
    std::vector<instance_id> later;
    /// True when the answer of a member may have waited in this process.
    bool isInconclusive = false;
    /// Number of members that have not reported yet.
    std::size_t pending = 0;
    /// A fault that was found, a proved one before others; nothing when there is none.
    std::optional<member_fault> fault;
    time_point startedAt;
  };

  void StartRound(const fleet::engine_group& aGroup, probe_order aOrder);
  void ProbeMembers(const std::shared_ptr<probe_round>& aRound,
                    const std::vector<instance_id>& aMembers);
  void ProbeMember(const std::shared_ptr<probe_round>& aRound,
                   const instance_id& aMember,
                   bool aIsRetry);
  /// Records what was found about a member, nothing when it is sound; the last one ends the round.
  void RecordMember(const std::shared_ptr<probe_round>& aRound,
                    const std::optional<member_fault>& aFault);
  void FinishRound(const probe_round& aRound);
  /// Returns the marked groups that this gateway is to probe and that were not probed for longest.
  [[nodiscard]] std::vector<fleet::engine_group> GroupsToRecheck();
  [[nodiscard]] bool MustAsk(const fleet::engine_group& aGroup) const;

  gateway_context& mContext;
  recheck_duty mDuty;
  std::map<group_id, time_point> mLastProbeAt;
  /// Groups with a probe in progress.
  std::set<group_id> mProbing;
};

/// Minimum time between two probes of one group.
constexpr duration kMinProbeInterval = 350_ms;
/// Marked groups that are probed again at a time: a silent head costs two connections, and callers
/// wait behind them.
constexpr std::size_t kRechecksAtOnce = 8;
/// A head that sent data within this time is not probed.
constexpr duration kHeadActivityWindow = 200_ms;

template<gateway_dialect Dialect>
void
group_prober<Dialect>::ProbeGroupOf(const instance_id& aHead)
{
  const fleet::engine_group* group = mContext.upstreams.FindGroupByHead(aHead);
  const dispatch::upstream_stats* stats = mContext.upstreams.Stats().Find(aHead);
  const time_point now = mContext.Now();
  if (group == nullptr || mContext.upstreams.IsBroken(group->id, group->epoch)) {
    return;
  }
  if (stats != nullptr && now - stats->lastByteAt < kHeadActivityWindow) {
    return;
  }
  StartRound(*group, probe_order::all_at_once);
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::StartRound(const fleet::engine_group& aGroup, probe_order aOrder)
{
  const time_point now = mContext.Now();
  const auto last = mLastProbeAt.find(aGroup.id);
  if (mProbing.count(aGroup.id) != 0 ||
      (last != mLastProbeAt.end() && now - last->second < kMinProbeInterval)) {
    return;
  }
  mLastProbeAt[aGroup.id] = now;
  mProbing.insert(aGroup.id);
  WriteLog(kGroupSuspected,
           { { "group", aGroup.id.value },
             { "epoch", std::to_string(aGroup.epoch.value) },
             { "head", aGroup.Head().value } });
  if (onSuspected) {
    onSuspected(aGroup);
  }
  const auto round = std::make_shared<probe_round>();
  round->group = aGroup;
  round->startedAt = now;
  std::vector<instance_id> first = aGroup.members;
  if (aOrder == probe_order::head_first) {
    round->later.assign(first.begin() + 1, first.end());
    first.resize(1);
  }
  ProbeMembers(round, first);
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::ProbeMembers(const std::shared_ptr<probe_round>& aRound,
                                    const std::vector<instance_id>& aMembers)
{
  aRound->pending = aMembers.size();
  for (const instance_id& member : aMembers) {
    ProbeMember(aRound, member, false);
  }
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::ProbeMember(const std::shared_ptr<probe_round>& aRound,
                                   const instance_id& aMember,
                                   bool aIsRetry)
{
  const fleet::instance* instance = mContext.upstreams.Fleet().Find(aMember);
  if (instance == nullptr) {
    // Not at once: the end of the round may end the attempt whose failure has started it.
    mContext.loop.Post([this, aRound, aMember] {
      RecordMember(aRound,
                   member_fault{ fleet::fault_evidence::silence,
                                 "instance " + aMember.value + " is not registered" });
    });
    return;
  }
  const incarnation incarnationId = instance->incarnationId;
  RequestReport<Dialect>(
    mContext,
    aMember,
    instance->address,
    [this, aRound, aMember, aIsRetry, incarnationId](const fleet::report_result& aResult) {
      // Retry once: a single lost packet does not mean that the member is lost.
      if (!aResult.report && !aIsRetry) {
        ProbeMember(aRound, aMember, true);
        return;
      }
      // An instance that leaves as planned stops listening before its group has finished.
      const fleet::instance* present = mContext.upstreams.Fleet().Find(aMember);
      const bool isLeaving = present == nullptr || present->draining;
      const fleet::report_result result =
        isLeaving && !aResult.report ? fleet::report_result{} : aResult;
      aRound->isInconclusive =
        aRound->isInconclusive ||
        (!result.report && result.failure == fleet::report_failure::inconclusive);
      RecordMember(aRound, FindMemberFault(aRound->group, aMember, incarnationId, result));
    });
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::RecordMember(const std::shared_ptr<probe_round>& aRound,
                                    const std::optional<member_fault>& aFault)
{
  const bool hasProof = aRound->fault && aRound->fault->evidence == fleet::fault_evidence::proof;
  if (aFault && !hasProof) {
    aRound->fault = aFault;
  }
  if (--aRound->pending > 0) {
    return;
  }
  if (!aRound->fault && !aRound->isInconclusive && !aRound->later.empty()) {
    ProbeMembers(aRound, std::exchange(aRound->later, {}));
    return;
  }
  FinishRound(*aRound);
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::FinishRound(const probe_round& aRound)
{
  mProbing.erase(aRound.group.id);
  const auto known = mContext.upstreams.BrokenEvidence(aRound.group.id, aRound.group.epoch);
  if (!aRound.fault) {
    if (known && !aRound.isInconclusive && onRecovered) {
      onRecovered(aRound.group);
    }
    return;
  }
  const dispatch::upstream_stats* stats = mContext.upstreams.Stats().Find(aRound.group.Head());
  const bool headResponded = stats != nullptr && stats->lastByteAt > aRound.startedAt;
  const bool isNews = !known || (*known == fleet::fault_evidence::silence &&
                                 aRound.fault->evidence == fleet::fault_evidence::proof);
  if (isNews && !headResponded && onBroken) {
    onBroken(aRound.group, *aRound.fault);
  }
}

template<gateway_dialect Dialect>
bool
group_prober<Dialect>::MustAsk(const fleet::engine_group& aGroup) const
{
  const dispatch::upstream_stats* stats = mContext.upstreams.Stats().Find(aGroup.Head());
  const bool hasCalls = stats != nullptr && stats->inFlight > 0;
  return mDuty.MustAsk({ aGroup.id, aGroup.epoch }, hasCalls, mContext.Now());
}

template<gateway_dialect Dialect>
std::vector<fleet::engine_group>
group_prober<Dialect>::GroupsToRecheck()
{
  std::vector<fleet::engine_group> candidates;
  std::set<recheck_duty::group_epoch> marks;
  for (const routes::service_profile& service :
       mContext.upstreams.Routes() ? mContext.upstreams.Routes()->Configuration().services
                                   : std::vector<routes::service_profile>{}) {
    for (const fleet::engine_group& group : mContext.upstreams.Fleet().GroupsOfService(service)) {
      if (NeedsRecheck(group, mContext.upstreams.BrokenEvidence(group.id, group.epoch))) {
        marks.emplace(group.id, group.epoch);
        candidates.push_back(group);
      }
    }
  }
  mDuty.SetMarked(marks, mContext.Now());
  std::vector<std::pair<time_point, fleet::engine_group>> marked;
  for (fleet::engine_group& group : candidates) {
    if (MustAsk(group)) {
      const auto last = mLastProbeAt.find(group.id);
      const time_point probedAt = last == mLastProbeAt.end() ? time_point{} : last->second;
      marked.emplace_back(probedAt, std::move(group));
    }
  }
  std::stable_sort(marked.begin(), marked.end(), [](const auto& aFirst, const auto& aSecond) {
    return aFirst.first < aSecond.first;
  });
  std::vector<fleet::engine_group> groups;
  for (std::size_t i = 0; i < std::min(marked.size(), kRechecksAtOnce); ++i) {
    groups.push_back(std::move(marked[i].second));
  }
  return groups;
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::RecheckBrokenGroups()
{
  for (const fleet::engine_group& group : GroupsToRecheck()) {
    StartRound(group, probe_order::head_first);
  }
}

} // namespace persimmon::gateway
