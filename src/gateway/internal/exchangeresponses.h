#pragma once

// Definitions of the class template in gateway/exchange.h: handling of upstreams' responses.

namespace persimmon::gateway {
namespace exchange_limits {

/// Time for which an unreachable upstream receives no new calls.
constexpr duration kUnreachableAvoidance = 600_ms;
/// Time for which an upstream that refused a call as full receives no new calls.
constexpr duration kFullAvoidance = 100_ms;
/// Time for which an upstream that answered 421 receives no new calls: by then the registry shows
/// that its address belongs to another instance.
constexpr duration kMisdirectedAvoidance = 1_s;
/// Bytes of a stream that may wait for the caller to read.
constexpr std::size_t kMaxUnreadBytes = 256U << 10U;

} // namespace exchange_limits

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnResponseHead(attempt& aAttempt, const upstream::response_head& aHead)
{
  const time_point now = mContext.Now();
  aAttempt.OnReceived(now);
  aAttempt.responseHead = aHead;
  aAttempt.responseInfo = Dialect::ParseResponseHead(aHead, mCall);
  const response_info& info = *aAttempt.responseInfo;
  mContext.upstreams.Stats().OnBytesReceived(aAttempt.upstream, now);
  mContext.statements.OnResponse(aAttempt);
  mContext.unknownHeaders.Record(info.unknownHeaders, aAttempt.upstream);
  if (info.status == kStatusOk && info.isSigned && info.matchesAttempt) {
    mContext.crashes.ResponseBegins(aAttempt.monitored);
  }
  if (!info.matchesAttempt) {
    OnAttemptLost(aAttempt, "answer_of_another_call", true);
  } else if (info.notExecuted) {
    OnNotExecuted(aAttempt);
  } else if (info.bodyModified || ImpliesNotExecuted(info.status)) {
    OnAttemptLost(aAttempt, "answer_without_proof", true);
  } else if (info.status < kFirstNonSuccessStatus && !info.isSigned) {
    OnAttemptLost(aAttempt, "unsigned_answer", true);
  } else if (info.status == kStatusOk && info.isEventStream) {
    BeginStream(aAttempt);
  } else if (mStreaming) {
    OnAttemptLost(aAttempt, "stream_not_resumed", true);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::BeginStream(attempt& aAttempt)
{
  if (mStreaming) {
    return;
  }
  mStreaming = true;
  mStreamBegunBy = aAttempt.number;
  mStateMachine.OnResponseStarted();
  // The first event ends the other attempt: this one may be lost before it.
  const bool othersMayGoOn =
    Attributes().resumable &&
    std::all_of(mAttempts.begin(), mAttempts.end(), [&](const attempt_ptr& aOther) {
      return aOther.get() == &aAttempt || aOther->MayGoOnWithStream();
    });
  if (!othersMayGoOn) {
    EndOtherAttempts(aAttempt);
  }
  const auto end = mContext.stopping ? entry::stream_end::closes : entry::stream_end::keeps;
  mResponder->OnDrain([weak = this->weak_from_this(), &context = mContext] {
    context.loop.Post([weak] {
      if (const auto self = weak.lock()) {
        self->OnCallerHasRead();
      }
    });
  });
  mResponder->StartStream(
    aAttempt.responseInfo->status, Dialect::EndToEndHeaders(aAttempt.responseHead), end);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnResponseData(attempt& aAttempt, std::string_view aData)
{
  if (!aAttempt.responseInfo) {
    return;
  }
  if (aAttempt.responseInfo->isEventStream && aAttempt.responseInfo->status == kStatusOk) {
    ForwardEvents(aAttempt, aData);
    return;
  }
  KeepBody(aAttempt, aData);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::KeepBody(attempt& aAttempt, std::string_view aData)
{
  aAttempt.OnReceived(mContext.Now());
  if (!aAttempt.kept.Resize(aAttempt.responseBody.size() + aData.size())) {
    OnAttemptLost(aAttempt, "body_too_large", true);
    return;
  }
  aAttempt.responseBody.append(aData);
  mContext.crashes.ResponseGoesOn(aAttempt.monitored);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::WriteEvents(const attempt& aAttempt, std::string_view aEvents)
{
  mResponder->Write(aEvents);
  if (!mPausedCall && mResponder->PendingBytes() > exchange_limits::kMaxUnreadBytes) {
    mPausedCall = aAttempt.call;
    mContext.calls.Pause(aAttempt.call);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnCallerHasRead()
{
  if (mEnded || !mPausedCall) {
    return;
  }
  mContext.calls.Resume(*mPausedCall);
  mPausedCall.reset();
  for (const attempt_ptr& current : mAttempts) {
    current->lastReceivedAt = mContext.Now();
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::ForwardEvents(attempt& aAttempt, std::string_view aData)
{
  const time_point now = mContext.Now();
  const std::uint64_t countBefore = aAttempt.framer.EventCount();
  if (aAttempt.number != mStreamBegunBy) {
    aAttempt.framer.RequireIds();
  }
  const std::string_view events = aAttempt.framer.Feed(aData);
  mContext.upstreams.Stats().OnBytesReceived(aAttempt.upstream, now);
  if (aAttempt.framer.HasGap()) {
    OnAttemptLost(aAttempt, "events_missing", true);
    return;
  }
  if (aAttempt.framer.HasForeignEvent()) {
    OnAttemptLost(aAttempt, "not_of_the_stream", true);
    return;
  }
  const std::size_t incomplete = aAttempt.framer.PartialBytes();
  if (incomplete > upstream::kMaxEventBytes || !aAttempt.kept.Resize(incomplete)) {
    OnAttemptLost(aAttempt, "event_too_large", true);
    return;
  }
  const std::uint64_t completed = aAttempt.framer.EventCount() - countBefore;
  if (completed > 0) {
    if (aAttempt.hasReceivedEvent) {
      const duration gap = now - aAttempt.lastReceivedAt;
      aAttempt.longestEventGap = std::max(aAttempt.longestEventGap, gap);
      mContext.upstreams.Stats().RecordLatency(aAttempt.upstream,
                                               gap / static_cast<std::int64_t>(completed));
    } else {
      mContext.upstreams.Stats().OnFirstByte(aAttempt.upstream, aAttempt.pendingPromptTokens, now);
      mContext.crashes.FirstResponse(aAttempt.monitored);
      aAttempt.pendingPromptTokens = 0;
    }
    mContext.crashes.ResponseGoesOn(aAttempt.monitored);
    aAttempt.hasReceivedEvent = true;
    aAttempt.OnReceived(now);
    EndOtherAttempts(aAttempt);
    RecordDelivery();
    if (const auto last = aAttempt.framer.LastEventId()) {
      mStateMachine.OnEventForwarded(*last);
    }
    WriteEvents(aAttempt, events);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnCallEnded(attempt& aAttempt, const upstream::call_outcome& aOutcome)
{
  const time_point now = mContext.Now();
  aAttempt.failureDetail = aOutcome.detail;
  if (aOutcome.end == upstream::call_end::not_sent && mResponder->HasCallerLeft()) {
    mStateMachine.OnSendWithdrawn(EndAttempt(aAttempt, "withdrawn"));
    OnCallerLeft();
    return;
  }
  if (aOutcome.end == upstream::call_end::not_sent) {
    // An upstream that only this process does not reach is none to avoid: a peer reaches it.
    if (!mContext.calls.DirectLostAt(aAttempt.address)) {
      mContext.upstreams.Stats().AvoidUntil(aAttempt.upstream,
                                            now + exchange_limits::kUnreachableAvoidance);
      mContext.upstreams.Stats().RecordOutcome(aAttempt.upstream, false, now);
    }
    mContext.onUpstreamStalled(aAttempt.upstream);
    Execute(mStateMachine.OnNotSent(EndAttempt(aAttempt, "not_sent"), now));
    return;
  }
  if (aOutcome.end == upstream::call_end::maybe_sent || !aAttempt.responseInfo) {
    mContext.onUpstreamStalled(aAttempt.upstream);
    OnAttemptLost(aAttempt, "broken_off", true);
    return;
  }
  if (aAttempt.responseInfo->isEventStream && aAttempt.responseInfo->status == kStatusOk) {
    OnStreamEnded(aAttempt);
    return;
  }
  DeliverResponse(aAttempt);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnStreamEnded(attempt& aAttempt)
{
  if (aAttempt.framer.HasPartial()) {
    OnAttemptLost(aAttempt, "ended_within_event", true);
    return;
  }
  if (!aAttempt.hasReceivedEvent && mAttempts.size() > 1) {
    // The other attempt may have more of the stream.
    OnAttemptLost(aAttempt, "ended_without_event", false);
    return;
  }
  mContext.upstreams.Stats().RecordOutcome(aAttempt.upstream, true, mContext.Now());
  mContext.metrics.Observe(kEventGap, MetricSeconds(aAttempt.longestEventGap));
  mContext.RecordDuration(Attributes(), mContext.Now() - aAttempt.startedAt);
  mResponder->FinishStream();
  mContext.crashes.Completed(aAttempt.monitored);
  EndAttempt(aAttempt, "whole");
  Finish("answered");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnNotExecuted(attempt& aAttempt)
{
  const time_point now = mContext.Now();
  const response_info& info = *aAttempt.responseInfo;
  if (!info.refusedForCaller) {
    AvoidAfterRefusal(aAttempt);
  }
  const char* result = info.refusedForCaller ? "refused_for_caller"
                       : info.misdirected    ? "misdirected"
                                             : "not_run";
  Execute(mStateMachine.OnNotExecuted(EndAttempt(aAttempt, result), now));
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::AvoidAfterRefusal(const attempt& aAttempt)
{
  const time_point now = mContext.Now();
  const bool misdirected = aAttempt.responseInfo->misdirected;
  mContext.upstreams.Stats().AvoidUntil(
    aAttempt.upstream,
    now + (misdirected ? exchange_limits::kMisdirectedAvoidance : exchange_limits::kFullAvoidance));
  mContext.upstreams.Stats().RecordOutcome(aAttempt.upstream, false, now);
  if (mContext.upstreams.FindGroupByHead(aAttempt.upstream) != nullptr) {
    mContext.onUpstreamStalled(aAttempt.upstream);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnAttemptLost(attempt& aAttempt, const char* aResult, bool aCountsAsFailure)
{
  const time_point now = mContext.Now();
  if (aCountsAsFailure) {
    mContext.upstreams.Stats().RecordOutcome(aAttempt.upstream, false, now);
  }
  if (aCountsAsFailure && !aAttempt.lossReported) {
    ReportLoss(aAttempt, loss_scope::head);
  }
  const bool isResumable = aAttempt.framer.IsResumable();
  const instance_id upstream = EndAttempt(aAttempt, aResult);
  if (!isResumable) {
    Execute(
      dispatch::call_action{ dispatch::abort_action{ dispatch::failure_cause::upstream_lost } });
    return;
  }
  Execute(mStateMachine.OnUpstreamLost(upstream, now));
}

template<gateway_dialect Dialect>
bool
exchange<Dialect>::RetryElsewhere(attempt& aAttempt)
{
  const bool failed = aAttempt.responseInfo->status >= kFirstServerErrorStatus;
  if (failed && mAttempts.size() > 1) {
    // The other attempt may still be answered.
    OnAttemptLost(aAttempt, "upstream_error", false);
    return true;
  }
  if (!failed || !Attributes().retryable || mStateMachine.SendCount() >= Attributes().maxAttempts) {
    return false;
  }
  if (mContext.RetryBudget(Attributes().service).Remaining(mContext.Now()) < 1) {
    return false;
  }
  OnAttemptLost(aAttempt, "upstream_error", false);
  return true;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::DeliverResponse(attempt& aAttempt)
{
  const time_point now = mContext.Now();
  const bool succeeded = aAttempt.responseInfo->status < kFirstServerErrorStatus;
  mContext.upstreams.Stats().RecordOutcome(aAttempt.upstream, succeeded, now);
  if (!succeeded && !aAttempt.responseInfo->isSigned) {
    // An intermediary reports that it lost the upstream.
    ReportLoss(aAttempt, loss_scope::head);
  }
  if (RetryElsewhere(aAttempt)) {
    return;
  }
  if (succeeded) {
    mContext.upstreams.Stats().RecordLatency(aAttempt.upstream, now - aAttempt.startedAt);
    mContext.RecordDuration(Attributes(), now - aAttempt.startedAt);
  }
  if (succeeded && aAttempt.responseInfo->isSigned) {
    mContext.crashes.Completed(aAttempt.monitored);
  }
  RecordDelivery();
  SendResponse(aAttempt.responseInfo->status,
               Dialect::EndToEndHeaders(aAttempt.responseHead),
               std::move(aAttempt.responseBody));
  EndAttempt(aAttempt, "whole");
  Finish("answered");
}

} // namespace persimmon::gateway
