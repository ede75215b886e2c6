#pragma once

#include "gateway/gatewaycontext.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/groupverdict.h"
#include "gateway/httpstatus.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace persimmon::gateway {

/// Asks one engine for its state; gives nothing when no answer came in time.
template<gateway_dialect Dialect>
void
AskReport(upstream::upstream_loop& aLoop,
          const instance_id& aInstance,
          const endpoint& aAddress,
          std::function<void(std::optional<fleet::engine_report>)> aDone)
{
  fleet::instance target;
  target.id = aInstance;
  target.address = aAddress;
  struct answer
  {
    int status = 0;
    std::string body;
  };
  const auto got = std::make_shared<answer>();
  upstream::call_handlers handlers;
  handlers.onHead = [got](const upstream::response_head& aHead) { got->status = aHead.status; };
  handlers.onData = [got](std::string_view aData) { got->body.append(aData); };
  handlers.onDone =
    [got, aInstance, done = std::move(aDone)](const upstream::call_outcome& aOutcome) {
      if (aOutcome.end != upstream::call_end::whole || got->status != kStatusOk) {
        done(std::nullopt);
        return;
      }
      json_problem problem;
      auto report = Dialect::ReadReport(got->body, problem);
      if (!report) {
        WriteLog(kReportNotUnderstood,
                 { { "instance", aInstance.value }, { "problem", problem.Text() } });
      }
      done(std::move(report));
    };
  aLoop.Start(Dialect::MakeReportCall(target), std::move(handlers));
}

/// Finds out whether a group that stands still has lost a member, by asking its members. For use
/// on the loop's thread.
template<gateway_dialect Dialect>
class group_prober
{
public:
  explicit group_prober(gateway_context& aContext)
    : mContext(aContext)
  {
  }

  /// Called once for each group that is found broken.
  std::function<void(const fleet::engine_group&, const std::string& aCause)> onBroken;
  /// Called when a group that counted as broken proves whole.
  std::function<void(const fleet::engine_group&)> onWhole;
  /// Called when a group comes under suspicion.
  std::function<void(const fleet::engine_group&)> onSuspected;

  /// A call sees no progress at the head of a group.
  void Suspect(const instance_id& aHead);
  /// Looks again at groups that count as broken; call about once a second.
  void Recheck();

private:
  struct round
  {
    fleet::engine_group group;
    std::size_t open = 0;
    std::string cause;
    time_point startedAt;
  };

  void Begin(const fleet::engine_group& aGroup);
  void Ask(const std::shared_ptr<round>& aRound, const instance_id& aMember, bool aAgain);
  void End(const round& aRound);

  gateway_context& mContext;
  std::map<group_id, time_point> mLast;
  std::set<group_id> mRunning;
};

/// Shortest time between two rounds of questions to one group.
constexpr duration kProbePause = 350_ms;
/// A head that was heard this recently is not asked.
constexpr duration kProbeQuiet = 200_ms;

template<gateway_dialect Dialect>
void
group_prober<Dialect>::Suspect(const instance_id& aHead)
{
  const fleet::engine_group* group = mContext.board.GroupOfHead(aHead);
  const dispatch::upstream_record* record = mContext.board.Record(aHead);
  const time_point now = mContext.Now();
  if (group == nullptr || mContext.board.IsBroken(group->id, group->epoch)) {
    return;
  }
  if (record != nullptr && now - record->heardAt < kProbeQuiet) {
    return;
  }
  Begin(*group);
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::Begin(const fleet::engine_group& aGroup)
{
  const time_point now = mContext.Now();
  const auto last = mLast.find(aGroup.id);
  if (mRunning.count(aGroup.id) != 0 || (last != mLast.end() && now - last->second < kProbePause)) {
    return;
  }
  mLast[aGroup.id] = now;
  mRunning.insert(aGroup.id);
  WriteLog(kGroupSuspected,
           { { "group", aGroup.id.value },
             { "epoch", std::to_string(aGroup.epoch.value) },
             { "head", aGroup.Head().value } });
  if (onSuspected) {
    onSuspected(aGroup);
  }
  const auto begun = std::make_shared<round>();
  begun->group = aGroup;
  begun->open = aGroup.members.size();
  begun->startedAt = now;
  for (const instance_id& member : aGroup.members) {
    Ask(begun, member, false);
  }
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::Ask(const std::shared_ptr<round>& aRound,
                           const instance_id& aMember,
                           bool aAgain)
{
  const fleet::instance* entry = mContext.board.Fleet().Find(aMember);
  if (entry == nullptr) {
    aRound->cause = "gone " + aMember.value;
    if (--aRound->open == 0) {
      End(*aRound);
    }
    return;
  }
  const incarnation life = entry->life;
  AskReport<Dialect>(
    mContext.loop,
    aMember,
    entry->address,
    [this, aRound, aMember, aAgain, life](std::optional<fleet::engine_report> aReport) {
      // One lost packet is no lost member.
      if (!aReport && !aAgain) {
        Ask(aRound, aMember, true);
        return;
      }
      const std::string fault = FaultOfMember(aRound->group, aMember, life, aReport);
      if (!fault.empty()) {
        aRound->cause = fault;
      }
      if (--aRound->open == 0) {
        End(*aRound);
      }
    });
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::End(const round& aRound)
{
  mRunning.erase(aRound.group.id);
  const bool broken = mContext.board.IsBroken(aRound.group.id, aRound.group.epoch);
  const dispatch::upstream_record* record = mContext.board.Record(aRound.group.Head());
  const bool heard = record != nullptr && record->heardAt > aRound.startedAt;
  if (aRound.cause.empty()) {
    if (broken && onWhole) {
      onWhole(aRound.group);
    }
  } else if (!broken && !heard && onBroken) {
    onBroken(aRound.group, aRound.cause);
  }
}

template<gateway_dialect Dialect>
void
group_prober<Dialect>::Recheck()
{
  for (const routes::service_profile& service : mContext.board.Routes()
                                                  ? mContext.board.Routes()->Source().services
                                                  : std::vector<routes::service_profile>{}) {
    for (const fleet::engine_group& group : mContext.board.Fleet().Groups(service)) {
      if (group.Serves() && mContext.board.IsBroken(group.id, group.epoch)) {
        Begin(group);
      }
    }
  }
}

} // namespace persimmon::gateway
