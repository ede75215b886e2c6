#pragma once

// Definitions of the class template in gateway/exchange.h: attempts, hedging and timing.

namespace persimmon::gateway {
namespace exchange_limits {

/// Silence between events after which the group is probed.
constexpr duration kMaxEventSilence = 230_ms;
/// Wait for the first event after which the group is probed.
constexpr duration kMaxFirstEventWait = 700_ms;
/// An attempt that received data within this time is not affected when its group is reported
/// broken.
constexpr duration kAttemptActivityWindow = 150_ms;
/// Delay of the hedged attempt of an idempotent call, as a multiple of its latency target.
constexpr std::int64_t kHedgeDelayTargets = 1;

} // namespace exchange_limits

template<gateway_dialect Dialect>
void
exchange<Dialect>::RecordDelivery()
{
  const time_point now = mContext.Now();
  if (mFirstByteDelay) {
    mLongestGap = std::max(mLongestGap, now - mLastDeliveryAt);
  } else {
    mFirstByteDelay = now - Attributes().arrivedAt;
    mContext.metrics.Observe(kFirstByte,
                             MetricSeconds(*mFirstByteDelay),
                             { { "kind", routes::CallKindName(Attributes().kind) } });
  }
  mLastDeliveryAt = now;
}

template<gateway_dialect Dialect>
attempt*
exchange<Dialect>::FindAttempt(std::uint64_t aNumber)
{
  for (const attempt_ptr& current : mAttempts) {
    if (current->number == aNumber) {
      return current.get();
    }
  }
  return nullptr;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::ReportLoss(attempt& aAttempt, loss_scope aScope)
{
  aAttempt.lossReported = true;
  mContext.crashes.Lost(aAttempt.monitored, aScope);
}

template<gateway_dialect Dialect>
loss_scope
exchange<Dialect>::ScopeOfStandstill(const attempt& aAttempt) const
{
  const dispatch::upstream_stats* stats = mContext.upstreams.Stats().Find(aAttempt.upstream);
  const bool workedAfterwards =
    aAttempt.hasReceivedEvent || (stats != nullptr && stats->lastByteAt > aAttempt.startedAt);
  return workedAfterwards ? loss_scope::group : loss_scope::stalled_group;
}

template<gateway_dialect Dialect>
instance_id
exchange<Dialect>::EndAttempt(attempt& aAttempt, const char* aResult)
{
  instance_id upstream = aAttempt.upstream;
  mContext.upstreams.Stats().OnCallEnded(upstream, aAttempt.pendingPromptTokens);
  mContext.onSlotFreed();
  if (!aAttempt.lossReported) {
    mContext.crashes.Ended(aAttempt.monitored);
  }
  mContext.calls.Cancel(aAttempt.call);
  if (mPausedCall == aAttempt.call) {
    mPausedCall.reset();
  }
  mContext.metrics.Count(kAttempts, { { "result", aResult } });
  WriteLog(
    kAttemptEnded,
    { { "request", Attributes().id.value },
      { "upstream", upstream.value },
      { "result", aResult },
      { "status", aAttempt.responseInfo ? std::to_string(aAttempt.responseInfo->status) : "none" },
      { "events", std::to_string(aAttempt.framer.EventCount()) },
      { "longest_gap_ms", std::to_string(aAttempt.longestEventGap.ms) },
      { "detail", aAttempt.failureDetail },
      { "after_ms", std::to_string((mContext.Now() - aAttempt.startedAt).ms) } });
  std::erase_if(mAttempts,
                [&aAttempt](const attempt_ptr& aOther) { return aOther.get() == &aAttempt; });
  return upstream;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::CheckProgress()
{
  if (mResponder->MayMissLeaving() && mResponder->HasCallerLeft()) {
    OnCallerLeft();
    return;
  }
  const time_point now = mContext.Now();
  for (const attempt_ptr& current : mAttempts) {
    current->Watch(now);
    if (mPausedCall == current->call) {
      continue;
    }
    const duration silence = now - current->lastReceivedAt;
    const duration silenceLimit = current->hasReceivedEvent ? exchange_limits::kMaxEventSilence
                                                            : exchange_limits::kMaxFirstEventWait;
    if (Attributes().kind == routes::call_kind::streaming && silence > silenceLimit) {
      mContext.onUpstreamStalled(current->upstream);
    }
  }
  if (Attributes().retryable) {
    if (attempt* lost = FindAttemptAtBrokenGroup()) {
      ReportLoss(*lost, ScopeOfStandstill(*lost));
      OnAttemptLost(*lost, "group_lost", false);
      return;
    }
    SendBesideStalledAttempt();
  }
  // What the call waited unread says nothing of its upstream.
  const duration elapsed = now - (Attributes().arrivedAt + Attributes().unreadFor);
  const duration hedgeDelay = Attributes().latencyTarget * exchange_limits::kHedgeDelayTargets;
  if (Attributes().kind == routes::call_kind::idempotent && mAttempts.size() == 1 &&
      elapsed > hedgeDelay && !mAttempts.front()->responseInfo) {
    const auto hedge = QuarantineLeft() ? std::nullopt : mStateMachine.TryConcurrentAttempt(now);
    if (hedge) {
      Execute(*hedge);
    }
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnUpstreamsChanged()
{
  if (!mEnded && mRetryTimer) {
    mContext.loop.CancelTimer(*mRetryTimer);
    mRetryTimer.reset();
    Execute(mStateMachine.OnWaitOver(mContext.Now()));
  }
}

template<gateway_dialect Dialect>
bool
exchange<Dialect>::IsPathLost(const attempt& aAttempt) const
{
  // What was sent over a direct connection may still be answered over it.
  const duration patience = aAttempt.hasReceivedEvent ? exchange_limits::kMaxEventSilence
                                                      : exchange_limits::kMaxFirstEventWait;
  return mContext.calls.PathOf(aAttempt.call) == paths::path_kind::direct &&
         mContext.calls.DirectLostAt(aAttempt.address) &&
         mContext.Now() - aAttempt.lastReceivedAt > patience;
}

template<gateway_dialect Dialect>
std::optional<fleet::fault_evidence>
exchange<Dialect>::EvidenceAgainst(const attempt& aAttempt) const
{
  if (IsPathLost(aAttempt)) {
    return fleet::fault_evidence::silence;
  }
  if (!aAttempt.group) {
    return std::nullopt;
  }
  return FindAttemptFault(
    *aAttempt.group,
    mContext.upstreams.Fleet().Find(aAttempt.upstream),
    mContext.upstreams.BrokenEvidence(aAttempt.group->id, aAttempt.group->epoch));
}

template<gateway_dialect Dialect>
bool
exchange<Dialect>::IsGroupRegistered(const attempt& aAttempt) const
{
  return aAttempt.group &&
         mContext.upstreams.FindGroup(aAttempt.group->id, aAttempt.group->epoch) != nullptr;
}

template<gateway_dialect Dialect>
attempt*
exchange<Dialect>::FindAttemptAtBrokenGroup()
{
  const time_point now = mContext.Now();
  for (const attempt_ptr& current : mAttempts) {
    const duration silence = now - current->lastReceivedAt;
    if (mPausedCall == current->call || silence <= exchange_limits::kAttemptActivityWindow) {
      continue;
    }
    const auto evidence = EvidenceAgainst(*current);
    if (evidence == fleet::fault_evidence::proof) {
      return current.get();
    }
    if (evidence && !current->isStalled) {
      WriteLog(kAttemptStalled,
               { { "request", Attributes().id.value },
                 { "upstream", current->upstream.value },
                 { "silent_ms", std::to_string(silence.ms) },
                 { "attempts", std::to_string(mAttempts.size()) } });
    }
    const bool mayBeLifted = current->isStalled && !evidence;
    current->RecordEvidence(evidence, mayBeLifted && IsGroupRegistered(*current));
  }
  return nullptr;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::SendBesideStalledAttempt()
{
  if (mEnded || mAttempts.size() != 1 || !mAttempts.front()->NeedsSecond()) {
    return;
  }
  if (mContext.crashes.Check(mIdentities).verdict == poison::poison_verdict::quarantined) {
    return;
  }
  if (const auto second = mStateMachine.TryConcurrentAttempt(mContext.Now())) {
    Execute(*second);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::EndOtherAttempts(const attempt& aAnswered)
{
  while (mAttempts.size() > 1) {
    attempt& other = mAttempts.front().get() == &aAnswered ? *mAttempts.back() : *mAttempts.front();
    if (other.isStalled) {
      ReportLoss(other, ScopeOfStandstill(other));
    }
    mStateMachine.OnSuperseded(EndAttempt(other, "superseded"));
  }
}

} // namespace persimmon::gateway
