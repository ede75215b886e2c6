#include "gateway/crashmonitor.h"

#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "poison/promptpartfingerprint.h"
#include "poison/suspicionlog.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace persimmon::gateway {
namespace {

/// Time within which a live instance accepts a connection.
constexpr duration kConnectTimeout = 600_ms;

/// Unanswered calls that all gateways together, and each of them, count against their requests in a
/// second. More are due to overload, and their news would fill the mesh.
constexpr double kMaxUnansweredPerSecond = 60;
constexpr double kMaxOwnUnansweredPerSecond = 5;

connect_result
ResultOf(const upstream::call_outcome& aOutcome)
{
  if (aOutcome.end == upstream::call_end::whole) {
    return connect_result::connected;
  }
  return aOutcome.refused ? connect_result::refused : connect_result::no_answer;
}

poison::loss_kind
KindOf(loss_scope aScope)
{
  switch (aScope) {
    case loss_scope::head:
      return poison::loss_kind::broken_off;
    case loss_scope::silent_head:
      return poison::loss_kind::unanswered;
    case loss_scope::group:
      return poison::loss_kind::stalled;
    case loss_scope::stalled_group:
      return poison::loss_kind::perhaps_stalled_before;
  }
  return poison::loss_kind::perhaps_stalled_before;
}

} // namespace

crash_monitor::crash_monitor(upstream_caller& aCalls,
                             dispatch::upstream_selector& aUpstreams,
                             metrics_registry& aMetrics)
  : mCalls(aCalls)
  , mUpstreams(aUpstreams)
  , mMetrics(aMetrics)
{
}

poison::poison_check
crash_monitor::Check(const poison::request_identities& aRequest)
{
  const time_point now = steady_clock().Now();
  const poison::poison_check check = mTracker.Check(aRequest.request, now);
  return check.verdict == poison::poison_verdict::quarantined
           ? check
           : mPartTracker.CheckOrTry(aRequest, now);
}

upstream_id
crash_monitor::UpstreamOf(const instance_id& aUpstream, const fleet::engine_group* aGroup) const
{
  const fleet::instance* instance = mUpstreams.Fleet().Find(aUpstream);
  const std::uint64_t run = instance != nullptr ? instance->incarnationId.value : 0;
  const std::uint64_t epoch = aGroup != nullptr ? aGroup->epoch.value : 0;
  return { fmt::format("{}/{}/{}", aUpstream.value, run, epoch) };
}

monitored_attempt
crash_monitor::Started(const poison::request_identities& aRequest, const instance_id& aUpstream)
{
  const fleet::engine_group* group = mUpstreams.FindGroupByHead(aUpstream);
  monitored_attempt started;
  started.id = { std::to_string(++mLastAttempt) };
  started.fingerprint = aRequest.request;
  for (const instance_id& member :
       group != nullptr ? group->members : std::vector<instance_id>{ aUpstream }) {
    if (const fleet::instance* instance = mUpstreams.Fleet().Find(member)) {
      started.members.push_back(
        { member, instance->service, instance->address, instance->incarnationId });
    }
  }
  started.upstream = UpstreamOf(aUpstream, group);
  const time_point now = steady_clock().Now();
  mTracker.RecordDispatch({ started.id, started.fingerprint, started.upstream }, now);
  mPartTracker.RecordDispatch(started.id, started.upstream, aRequest, now);
  return started;
}

void
crash_monitor::ResponseBegins(const monitored_attempt& aAttempt)
{
  mPartTracker.RecordHead(aAttempt.id, steady_clock().Now());
}

void
crash_monitor::ResponseGoesOn(const monitored_attempt& aAttempt)
{
  Announce(mPartTracker.RecordData(aAttempt.id, steady_clock().Now()), true);
}

void
crash_monitor::FirstResponse(const monitored_attempt& aAttempt)
{
  mTracker.RecordFirstResponse(aAttempt.id, steady_clock().Now());
}

void
crash_monitor::Completed(const monitored_attempt& aAttempt)
{
  const time_point now = steady_clock().Now();
  Announce(mTracker.RecordCompletion(aAttempt.id, now), true);
  Announce(mPartTracker.RecordCompletion(aAttempt.id, now), true);
}

void
crash_monitor::Ended(const monitored_attempt& aAttempt)
{
  mTracker.RecordEnd(aAttempt.id);
  mPartTracker.RecordEnd(aAttempt.id);
}

std::vector<crash_candidate>
crash_monitor::CandidatesOf(const monitored_attempt& aAttempt, loss_scope aScope) const
{
  std::vector<crash_candidate> candidates = aAttempt.members;
  const bool headOnly = aScope == loss_scope::head || aScope == loss_scope::silent_head;
  if (headOnly && !candidates.empty()) {
    candidates.resize(1);
  }
  // An instance that leaves as planned closes its port: that proves no crash. One that does not
  // respond to a call and lapses without an announcement does not leave as planned.
  const bool maySilentlyLapse = aScope == loss_scope::silent_head;
  std::erase_if(candidates, [&](const crash_candidate& aCandidate) {
    return maySilentlyLapse ? HasAnnouncedLeaving(aCandidate) : IsLeaving(aCandidate.instance);
  });
  return candidates;
}

bool
crash_monitor::HasAnnouncedLeaving(const crash_candidate& aCandidate) const
{
  return mDraining.count(aCandidate.instance) != 0;
}

void
crash_monitor::RecordDraining(time_point aNow)
{
  for (const auto& [id, instance] : mUpstreams.Fleet().Instances()) {
    if (instance.draining) {
      mDraining[id] = aNow;
    }
  }
  std::erase_if(mDraining,
                [aNow](const auto& aEntry) { return aNow - aEntry.second > kCrashProofTime; });
}

void
crash_monitor::CountLapsed()
{
  const time_point now = steady_clock().Now();
  for (const attempt_id& attempt : mInvestigator.TakeLapsed(mUpstreams.Fleet())) {
    const auto lost = mLostCalls.find(attempt);
    if (lost != mLostCalls.end() && lost->second.countsAsUnanswered) {
      Announce(mTracker.RecordLoss(attempt, poison::loss_kind::unanswered_lapsed, now), true);
    }
  }
}

bool
crash_monitor::IsLeaving(const instance_id& aInstance) const
{
  const fleet::instance* instance = mUpstreams.Fleet().Find(aInstance);
  return instance == nullptr || instance->draining;
}

void
crash_monitor::GroupSilent(const fleet::engine_group& aGroup)
{
  // The group of an instance that leaves as planned stands still without a crash.
  const bool anyLeaves =
    std::any_of(aGroup.members.begin(), aGroup.members.end(), [this](const instance_id& aMember) {
      return IsLeaving(aMember);
    });
  if (anyLeaves || !aGroup.complete) {
    return;
  }
  const time_point now = steady_clock().Now();
  const upstream_id upstream = UpstreamOf(aGroup.Head(), &aGroup);
  const dispatch::upstream_stats* stats = mUpstreams.Stats().Find(aGroup.Head());
  const time_point heardAt = stats != nullptr ? stats->lastByteAt : time_point{ INT64_MIN / 2 };
  mSilent[upstream] = { aGroup.Head(), now };
  Announce(mPartTracker.RecordSilence(upstream, heardAt, now), true);
}

void
crash_monitor::GroupWorks(const fleet::engine_group& aGroup)
{
  const upstream_id upstream = UpstreamOf(aGroup.Head(), &aGroup);
  if (mSilent.erase(upstream) > 0) {
    Announce(mPartTracker.RecordSignOfLife(upstream, steady_clock().Now()), true);
  }
}

void
crash_monitor::LookForSignsOfLife(time_point aNow)
{
  for (auto current = mSilent.begin(); current != mSilent.end();) {
    const auto next = std::next(current);
    const auto& [upstream, silent] = *current;
    const dispatch::upstream_stats* stats = mUpstreams.Stats().Find(silent.head);
    // What a later life or group of the head sends says nothing of this one.
    const bool isSameRun =
      UpstreamOf(silent.head, mUpstreams.FindGroupByHead(silent.head)) == upstream;
    const bool isHeard = isSameRun && stats != nullptr && stats->lastByteAt > silent.foundAt;
    if (isHeard) {
      Announce(mPartTracker.RecordSignOfLife(upstream, aNow), true);
    }
    if (isHeard || silent.foundAt + poison::kSuspectLifetime <= aNow) {
      mSilent.erase(current);
    }
    current = next;
  }
}

bool
crash_monitor::CountLoss(const monitored_attempt& aAttempt, loss_scope aScope, time_point aNow)
{
  Announce(mPartTracker.RecordLoss(aAttempt.id, KindOf(aScope), aNow), true);
  if (aScope == loss_scope::silent_head) {
    if (!mUnansweredCalls.HasPermit(aNow)) {
      return false;
    }
    mUnansweredCalls.Take(aNow);
  }
  Announce(mTracker.RecordLoss(aAttempt.id, KindOf(aScope), aNow), true);
  return true;
}

void
crash_monitor::Lost(const monitored_attempt& aAttempt, loss_scope aScope)
{
  const time_point now = steady_clock().Now();
  const bool isCounted = CountLoss(aAttempt, aScope, now);
  const std::vector<crash_candidate> candidates = CandidatesOf(aAttempt, aScope);
  const lost_call lost{ aAttempt.fingerprint, now, isCounted && aScope == loss_scope::silent_head };
  if (candidates.empty() || !mInvestigator.HasCapacity()) {
    ReportConclusion(lost,
                     aAttempt.upstream,
                     "not_examined",
                     candidates.empty() ? "instance left" : "too many lost calls");
    Ended(aAttempt);
    return;
  }
  mLostCalls[aAttempt.id] = lost;
  for (const crash_candidate& candidate :
       mInvestigator.AddLostAttempt(aAttempt.upstream, aAttempt.id, candidates, now)) {
    // Somebody else may listen at an address that is no longer registered, or nobody as planned.
    if (!IsLeaving(candidate.instance)) {
      Connect(aAttempt.upstream, candidate);
    }
  }
  CountLapsed();
}

void
crash_monitor::Connect(const upstream_id& aUpstream, const crash_candidate& aCandidate)
{
  upstream::upstream_call call;
  call.address = aCandidate.address;
  call.connectTimeout = kConnectTimeout;
  call.timeout = kConnectTimeout;
  call.freshConnection = true;
  call.connectOnly = true;
  upstream::call_handlers handlers;
  handlers.onHead = [](const upstream::response_head&) {};
  handlers.onData = [](std::string_view) {};
  handlers.onDone = [this, aUpstream](const upstream::call_outcome& aOutcome) {
    const auto finding = mInvestigator.OnConnectResult(aUpstream, ResultOf(aOutcome));
    if (finding) {
      Conclude(*finding);
    }
  };
  mCalls.Start(std::move(call), std::move(handlers));
}

void
crash_monitor::Conclude(const crash_finding& aFinding)
{
  for (const attempt_id& attempt : aFinding.attempts) {
    ReportConclusion(mLostCalls[attempt],
                     aFinding.upstream,
                     aFinding.crashed ? "crash" : "no_crash",
                     aFinding.evidence);
    mLostCalls.erase(attempt);
  }
  if (!aFinding.crashed) {
    for (const attempt_id& attempt : aFinding.attempts) {
      mTracker.RecordEnd(attempt);
      mPartTracker.RecordEnd(attempt);
    }
    return;
  }
  WriteLog(kUpstreamCrashed,
           { { "upstream", aFinding.upstream.value },
             { "evidence", aFinding.evidence },
             { "calls", std::to_string(aFinding.attempts.size()) } });
  mMetrics.Count(kUpstreamCrashes, {});
  const time_point now = steady_clock().Now();
  Announce(mTracker.RecordCrash(aFinding.upstream, now), true);
  Announce(mPartTracker.RecordCrash(aFinding.upstream, now), true);
}

void
crash_monitor::ReportConclusion(const lost_call& aCall,
                                const upstream_id& aUpstream,
                                const char* aResult,
                                const char* aEvidence)
{
  WriteLog(kLossConcluded,
           { { "fingerprint", poison::FingerprintText(aCall.fingerprint) },
             { "upstream", aUpstream.value },
             { "result", aResult },
             { "evidence", aEvidence },
             { "after_ms", std::to_string((steady_clock().Now() - aCall.lostAt).ms) } });
  mMetrics.Count(kLostCalls, { { "result", aResult } });
}

void
crash_monitor::Announce(const poison::suspicion_changes& aChanges, bool aObservedHere) const
{
  if (aChanges.Empty()) {
    return;
  }
  poison::LogChanges(aChanges);
  if (onChange) {
    onChange(aChanges, aObservedHere);
  }
}

void
crash_monitor::Apply(const poison::suspicion_changes& aMessages)
{
  poison::suspicion_changes ofRequests;
  poison::suspicion_changes ofParts;
  for (const peers::crash_message& crash : aMessages.crashes) {
    (poison::IsPromptPart(crash.fingerprint) ? ofParts : ofRequests).crashes.push_back(crash);
  }
  for (const peers::quarantine_message& quarantine : aMessages.quarantines) {
    (poison::IsPromptPart(quarantine.fingerprint) ? ofParts : ofRequests)
      .quarantines.push_back(quarantine);
  }
  const time_point now = steady_clock().Now();
  Announce(mTracker.Apply(ofRequests, now), false);
  Announce(mPartTracker.Apply(ofParts, now), false);
}

void
crash_monitor::OnFastTick()
{
  const time_point now = steady_clock().Now();
  LookForSignsOfLife(now);
  Announce(mPartTracker.Settle(now), true);
}

void
crash_monitor::OnInstancesChanged()
{
  RecordDraining(steady_clock().Now());
  for (const crash_finding& finding : mInvestigator.OnFleetChanged(mUpstreams.Fleet())) {
    Conclude(finding);
  }
  CountLapsed();
}

void
crash_monitor::OnSlowTick(const router_id& aSelf, const std::vector<router_id>& aLive)
{
  const time_point now = steady_clock().Now();
  const double share =
    kMaxUnansweredPerSecond / static_cast<double>(std::max<std::size_t>(aLive.size(), 1));
  mUnansweredCalls.SetShare(
    { std::min(share, kMaxOwnUnansweredPerSecond), kMaxOwnUnansweredPerSecond }, now);
  for (const crash_finding& finding : mInvestigator.TakeExpired(now)) {
    Conclude(finding);
  }
  mTracker.Prune(now);
  mPartTracker.Prune(now);
  mPartTracker.SetProcesses(aSelf, aLive);
  const poison::suspicion_counts counts = mTracker.Count(now);
  mMetrics.Set(kSuspects, static_cast<double>(counts.suspects));
  mMetrics.Set(kQuarantined, static_cast<double>(counts.quarantined));
  const poison::suspicion_counts parts = mPartTracker.Count(now);
  mMetrics.Set(kSuspectParts, static_cast<double>(parts.suspects));
  mMetrics.Set(kQuarantinedParts, static_cast<double>(parts.quarantined));
}

poison::suspicion_changes
crash_monitor::LastingEntries() const
{
  const time_point now = steady_clock().Now();
  poison::suspicion_changes entries = mTracker.LastingEntries(now);
  entries.Append(mPartTracker.LastingEntries(now));
  return entries;
}

} // namespace persimmon::gateway
