#pragma once

#include "dispatch/permitbucket.h"
#include "dispatch/upstreamselector.h"
#include "gateway/crashinvestigator.h"
#include "gateway/upstreamcaller.h"
#include "metrics/metrics.h"
#include "poison/poisontracker.h"
#include "poison/promptparttracker.h"
#include "poison/requestidentities.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace persimmon::gateway {

/// An attempt as the crash monitor knows it.
struct monitored_attempt
{
  attempt_id id;
  /// Identifies the request when it is sent again.
  std::uint64_t fingerprint = 0;
  /// The upstream in the incarnation and group that it had at the dispatch.
  upstream_id upstream;
  std::vector<crash_candidate> members;
};

/// Which instances of an upstream may have ended a lost call.
enum class loss_scope
{
  /// The instance that the call was sent to: it ended the connection or did not respond.
  head,
  /// The instance that the call was sent to: the caller's time ended, or the caller left, without a
  /// response.
  silent_head,
  /// Any member of the group: it stands still, and worked after the call was sent.
  group,
  /// Any member of the group: it stands still, perhaps since before the call was sent.
  stalled_group
};

/// Tracks the calls in flight and the crashes of upstreams, to recognise requests, and parts of
/// prompts, that crash the upstreams that run them. For use on the event loop's thread only.
class crash_monitor
{
public:
  crash_monitor(upstream_caller& aCalls,
                dispatch::upstream_selector& aUpstreams,
                metrics_registry& aMetrics);

  /// Called with changes that the other gateways need. aObservedHere is false for what follows from
  /// messages of others.
  std::function<void(const poison::suspicion_changes&, bool aObservedHere)> onChange;

  /// Returns how a request may be sent. Now and then, one with a quarantined part in its prompt may
  /// be sent as a trial.
  [[nodiscard]] poison::poison_check Check(const poison::request_identities& aRequest);
  /// Records that a request is sent to an upstream.
  monitored_attempt Started(const poison::request_identities& aRequest,
                            const instance_id& aUpstream);
  /// Records the head of a response that only an upstream that runs the request sends.
  void ResponseBegins(const monitored_attempt& aAttempt);
  /// Records a part of a response behind its head; of a stream, complete events.
  void ResponseGoesOn(const monitored_attempt& aAttempt);
  /// Records the first part of a stream.
  void FirstResponse(const monitored_attempt& aAttempt);
  /// Records a complete response that shows that the upstream ran the request to its end, which an
  /// error of the upstream does not.
  void Completed(const monitored_attempt& aAttempt);
  /// Records an attempt that ended without any sign of a crash.
  void Ended(const monitored_attempt& aAttempt);
  /// Records an attempt whose response broke off, was not valid or did not come, and finds out
  /// whether its upstream has crashed.
  void Lost(const monitored_attempt& aAttempt, loss_scope aScope);
  /// Records that a group was found silent. Its head may have crashed, which counts against the
  /// parts of the prompts of its calls until the group is heard again.
  void GroupSilent(const fleet::engine_group& aGroup);
  /// Records that a group that was found silent works.
  void GroupWorks(const fleet::engine_group& aGroup);
  /// Applies messages of another gateway or from the store.
  void Apply(const poison::suspicion_changes& aMessages);
  /// Looks for restarted instances; call after each change of the instances.
  void OnInstancesChanged();
  /// Judges what has waited for a while; call several times a second.
  void OnFastTick();
  /// Drops what has expired and updates the metrics; call about once a second with the live
  /// gateways, this one included.
  void OnSlowTick(const router_id& aSelf, const std::vector<router_id>& aLive);
  /// Returns what must outlast all processes.
  [[nodiscard]] poison::suspicion_changes LastingEntries() const;

private:
  /// Returns the instances of a lost attempt that can prove a crash.
  [[nodiscard]] std::vector<crash_candidate> CandidatesOf(const monitored_attempt& aAttempt,
                                                          loss_scope aScope) const;
  /// Counts a lost call against its request. Returns false when there are too many that were not
  /// answered.
  bool CountLoss(const monitored_attempt& aAttempt, loss_scope aScope, time_point aNow);
  /// Returns whether an instance that ran an attempt has announced its departure.
  [[nodiscard]] bool HasAnnouncedLeaving(const crash_candidate& aCandidate) const;
  /// Counts unanswered calls more whose upstreams are no longer registered.
  void CountLapsed();
  /// Remembers which instances drain, until well after they have left.
  void RecordDraining(time_point aNow);
  /// An upstream whose silence counts against parts of prompts.
  struct silent_upstream
  {
    instance_id head;
    time_point foundAt;
  };
  /// A lost call whose upstream is under investigation.
  struct lost_call
  {
    std::uint64_t fingerprint = 0;
    time_point lostAt;
    /// The call was not answered, and counts against its request.
    bool countsAsUnanswered = false;
  };

  /// Returns an upstream in its present run; aGroup is nullptr for an instance without a group.
  [[nodiscard]] upstream_id UpstreamOf(const instance_id& aUpstream,
                                       const fleet::engine_group* aGroup) const;
  /// Returns whether an instance has left or is leaving as planned.
  [[nodiscard]] bool IsLeaving(const instance_id& aInstance) const;
  /// Withdraws what the silence of upstreams has counted once they are heard again.
  void LookForSignsOfLife(time_point aNow);
  /// Logs and counts what was found out about the upstream of a lost call.
  void ReportConclusion(const lost_call& aCall,
                        const upstream_id& aUpstream,
                        const char* aResult,
                        const char* aEvidence);
  void Connect(const upstream_id& aUpstream, const crash_candidate& aCandidate);
  void Conclude(const crash_finding& aFinding);
  void Announce(const poison::suspicion_changes& aChanges, bool aObservedHere) const;

  upstream_caller& mCalls;
  dispatch::upstream_selector& mUpstreams;
  metrics_registry& mMetrics;
  poison::poison_tracker mTracker;
  poison::prompt_part_tracker mPartTracker;
  crash_investigator mInvestigator;
  std::unordered_map<attempt_id, lost_call> mLostCalls;
  std::map<upstream_id, silent_upstream> mSilent;
  /// When the instances that have announced their departure were last seen to drain.
  std::map<instance_id, time_point> mDraining;
  dispatch::permit_bucket mUnansweredCalls;
  std::uint64_t mLastAttempt = 0;
};

} // namespace persimmon::gateway
