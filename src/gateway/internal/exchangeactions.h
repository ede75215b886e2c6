#pragma once

// Definitions of the class template in gateway/exchange.h: execution of the state machine's
// actions.

namespace persimmon::gateway {
namespace exchange_limits {

/// Time after the deadline in which an upstream's own response is still awaited.
constexpr duration kDeadlineGrace = 80_ms;
/// Time without a response after which a cancelled attempt may be due to a crash of its upstream.
constexpr duration kMaxUnansweredWait = 700_ms;
/// Outcome of a call whose caller left before it was answered.
constexpr const char* kLeftOutcome = "caller_left";
/// Retry-After of a stopping gateway for a call that was not sent: the next attempt reaches another
/// gateway.
constexpr duration kRetryAfterUnsent = 50_ms;
/// Retry-After for a caller that has ended its sending before its call was sent.
constexpr duration kRetryAfterLeaving = 100_ms;

} // namespace exchange_limits

template<gateway_dialect Dialect>
void
exchange<Dialect>::Begin()
{
  mRegistry.Add(this->shared_from_this());
  mResponder->OnLeave([weak = this->weak_from_this(), &context = mContext] {
    context.loop.Post([weak] {
      const auto self = weak.lock();
      if (self && !self->mEnded) {
        self->OnCallerLeft();
      }
    });
  });
  if (mResponder->HasCallerLeft()) {
    OnCallerLeft();
    return;
  }
  if (Attributes().deadline <= mContext.Now()) {
    Execute(mStateMachine.OnDeadline());
    return;
  }
  StartDeadlineTimer();
  if (const auto left = QuarantineLeft()) {
    Execute(mStateMachine.OnQuarantined(*left));
    return;
  }
  mContext.upstreams.RecordCall(Attributes().service, Attributes().model, mContext.Now());
  Execute(mStateMachine.OnArrival(mContext.Now()));
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnCallerLeft()
{
  const bool isUnsent = mStateMachine.SendCount() == 0;
  WriteLog(kCallerLeft,
           { { "request", Attributes().id.value },
             { "sent", std::to_string(mStateMachine.SendCount()) },
             { "unread_ms", std::to_string(Attributes().unreadFor.ms) },
             { "after_ms", std::to_string((mContext.Now() - Attributes().arrivedAt).ms) } });
  mContext.metrics.Count(kCallersLeft, { { "when", isUnsent ? "unsent" : "in_flight" } });
  if (isUnsent) {
    // Who has only ended its sending still reads.
    SendResponse(kStatusUnavailable,
                 Dialect::RetryAfterHeaders(exchange_limits::kRetryAfterLeaving),
                 exchange_limits::kLeftOutcome);
  }
  Finish(exchange_limits::kLeftOutcome);
}

template<gateway_dialect Dialect>
poison::request_identities
exchange<Dialect>::MakeIdentities() const
{
  return { poison::RequestFingerprint(
             { {}, mCustomer.value, mRequest.method, mRequest.target, mRequest.body.Text() }),
           poison::PromptPartFingerprints(
             Attributes().service, Attributes().model.value, mCall.sharedPromptParts) };
}

template<gateway_dialect Dialect>
std::optional<duration>
exchange<Dialect>::QuarantineLeft() const
{
  const poison::poison_check check = mContext.crashes.Check(mIdentities);
  if (check.verdict != poison::poison_verdict::quarantined) {
    return std::nullopt;
  }
  if (poison::IsPromptPart(check.fingerprint)) {
    mContext.metrics.Count(kPromptPartRefusals);
  }
  WriteLog(poison::kQuarantinedRefused,
           { { "request", Attributes().id.value },
             { "subject", poison::SubjectName(check.fingerprint) },
             { "fingerprint", poison::FingerprintText(check.fingerprint) },
             { "service", Attributes().service.value },
             { "customer", mCustomer.value },
             { "retry_after_ms", std::to_string(check.remaining.ms) } });
  return check.remaining;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::StartDeadlineTimer()
{
  const duration left = Attributes().deadline - mContext.Now() + exchange_limits::kDeadlineGrace;
  mDeadlineTimer = mContext.loop.After(left, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->mEnded) {
      self->Execute(self->mStateMachine.OnDeadline());
    }
  });
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::call_action& aAction)
{
  if (!mEnded) {
    std::visit([this](const auto& aAlternative) { this->Execute(aAlternative); }, aAction);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::send_action& aAction)
{
  if (mResponder->HasCallerLeft()) {
    mStateMachine.OnSendWithdrawn(aAction.upstream);
    OnCallerLeft();
    return;
  }
  const fleet::instance* instance = mContext.upstreams.Fleet().Find(aAction.upstream);
  const time_point now = mContext.Now();
  if (const auto left = QuarantineLeft()) {
    Execute(mStateMachine.OnSendWithheld(dispatch::failure_cause::quarantined, *left));
    return;
  }
  if (!mStreaming && !mContext.MayEndBeforeExit(Attributes(), now)) {
    Execute(mStateMachine.OnSendWithheld(dispatch::failure_cause::stopping,
                                         exchange_limits::kRetryAfterUnsent));
    return;
  }
  if (instance == nullptr || aAction.deadline <= now) {
    Execute(mStateMachine.OnNotSent(aAction.upstream, now));
    return;
  }
  const upstream_target target = MakeTarget(aAction, *instance, now);
  LogSend(aAction, target);
  attempt& added = AddAttempt(target, instance->incarnationId, now);
  added.call =
    mContext.calls.Start(Dialect::BuildUpstreamCall(mRequest, mCall, target), MakeHandlers(added));
}

template<gateway_dialect Dialect>
upstream_target
exchange<Dialect>::MakeTarget(const dispatch::send_action& aAction,
                              const fleet::instance& aInstance,
                              time_point aNow) const
{
  upstream_target target;
  target.instance = aInstance.id;
  target.address = aInstance.address;
  target.customer = mCustomer;
  target.remainingTime = aAction.deadline - aNow;
  target.resumeAfter = aAction.resumeAfter;
  target.priority = aAction.priority;
  return target;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::LogSend(const dispatch::send_action& aAction, const upstream_target& aTarget)
{
  const std::size_t withoutPermit =
    mContext.upstreams.CountWithoutPermit(Attributes().service, Attributes().model, mContext.Now());
  if (withoutPermit > 0) {
    mContext.metrics.Count(kCallsPastLimited);
  }
  const std::size_t paused =
    mContext.upstreams.CountPaused(Attributes().service, Attributes().model, mContext.Now());
  if (paused > 0) {
    mContext.metrics.Count(kCallsPastPaused);
  }
  WriteLog(
    kCallSent,
    { { "request", Attributes().id.value },
      { "service", Attributes().service.value },
      { "upstream", aTarget.instance.value },
      { "attempt", std::to_string(mStateMachine.SendCount()) },
      { "resume_after", aAction.resumeAfter ? std::to_string(*aAction.resumeAfter) : "none" },
      { "rank", dispatch::QueuePriorityName(aAction.priority) },
      { "slot", mContext.upstreams.Slots().HasFree(aTarget.instance) ? "own" : "other" },
      { "utilisation",
        fmt::format("{:.2f}",
                    mContext.upstreams.Utilisation(
                      Attributes().service, Attributes().model, mContext.Now())) },
      { "fingerprint", poison::FingerprintText(mIdentities.request) },
      { "without_permit", std::to_string(withoutPermit) },
      { "paused", std::to_string(paused) },
      { "unread_ms", std::to_string(Attributes().unreadFor.ms) },
      { "left_ms", std::to_string(aTarget.remainingTime.ms) } });
}

template<gateway_dialect Dialect>
attempt&
exchange<Dialect>::AddAttempt(const upstream_target& aTarget,
                              incarnation aIncarnation,
                              time_point aNow)
{
  auto added = std::make_unique<attempt>(mContext.bodies);
  added->number = ++mLastAttemptNumber;
  added->upstream = aTarget.instance;
  added->address = aTarget.address;
  added->incarnationId = aIncarnation;
  added->startedAt = aNow;
  added->lastReceivedAt = aNow;
  added->watchedAt = aNow;
  added->pendingPromptTokens = Attributes().promptTokens;
  added->framer.StartAfter(aTarget.resumeAfter);
  if (const fleet::engine_group* group = mContext.upstreams.FindGroupByHead(aTarget.instance)) {
    added->group = sent_group{ group->id, group->epoch, aIncarnation };
  }
  added->monitored = mContext.crashes.Started(mIdentities, added->upstream);
  mContext.upstreams.OnCallStarted(added->upstream, added->pendingPromptTokens, aNow);
  mAttempts.push_back(std::move(added));
  return *mAttempts.back();
}

template<gateway_dialect Dialect>
upstream::call_handlers
exchange<Dialect>::MakeHandlers(const attempt& aAttempt)
{
  // The attempt may be removed before its call ends, so look it up each time.
  const auto forAttempt = [weak = this->weak_from_this(), number = aAttempt.number](auto aHandle) {
    const auto self = weak.lock();
    attempt* found = self ? self->FindAttempt(number) : nullptr;
    if (found != nullptr) {
      aHandle(*self, *found);
    }
  };
  upstream::call_handlers handlers;
  // The connection may have taken a while.
  handlers.mayBeSent = [responder = mResponder] { return !responder->HasCallerLeft(); };
  handlers.onHead = [forAttempt](const upstream::response_head& aHead) {
    forAttempt([&](exchange& aSelf, attempt& aFound) { aSelf.OnResponseHead(aFound, aHead); });
  };
  handlers.onData = [forAttempt](std::string_view aData) {
    forAttempt([&](exchange& aSelf, attempt& aFound) { aSelf.OnResponseData(aFound, aData); });
  };
  handlers.onDone = [forAttempt](const upstream::call_outcome& aOutcome) {
    forAttempt([&](exchange& aSelf, attempt& aFound) { aSelf.OnCallEnded(aFound, aOutcome); });
  };
  return handlers;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::wait_action& aAction)
{
  const duration left = std::max(aAction.until - mContext.Now(), duration{ 1 });
  mRetryTimer = mContext.loop.After(left, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->mEnded && self->mRetryTimer) {
      self->mRetryTimer.reset();
      self->Execute(self->mStateMachine.OnWaitOver(self->mContext.Now()));
    }
  });
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::refuse_action& aAction)
{
  const char* cause = dispatch::FailureCauseName(aAction.cause);
  const dispatch::own_slot_use slots =
    mContext.upstreams.Slots().UseOf(Attributes().service, Attributes().model);
  const double utilisation =
    mContext.upstreams.Utilisation(Attributes().service, Attributes().model, mContext.Now());
  WriteLog(kCallRefused,
           { { "request", Attributes().id.value },
             { "service", Attributes().service.value },
             { "model", Attributes().model.value },
             { "cause", cause },
             { "rank", std::to_string(Attributes().rank) },
             { "own_slots", std::to_string(slots.slots) },
             { "own_in_use", std::to_string(slots.inUse) },
             { "utilisation", fmt::format("{:.2f}", utilisation) },
             { "retry_after_ms", std::to_string(aAction.retryAfter.ms) },
             { "after_ms", std::to_string((mContext.Now() - Attributes().arrivedAt).ms) } });
  mContext.metrics.Count(kRefusals, { { "cause", cause } });
  SendResponse(kStatusUnavailable, Dialect::RetryAfterHeaders(aAction.retryAfter), cause);
  Finish("refused");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::fail_action& aAction)
{
  const char* cause = dispatch::FailureCauseName(aAction.cause);
  const bool late = aAction.cause == dispatch::failure_cause::time_up;
  WriteLog(kCallFailed,
           { { "request", Attributes().id.value },
             { "service", Attributes().service.value },
             { "cause", cause },
             { "sent", std::to_string(mStateMachine.SendCount()) },
             { "after_ms", std::to_string((mContext.Now() - Attributes().arrivedAt).ms) } });
  SendResponse(late ? kStatusGatewayTimeout : kStatusBadGateway, {}, cause);
  Finish(late ? "timed_out" : "failed");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::abort_action& aAction)
{
  WriteLog(
    kCallCut,
    { { "request", Attributes().id.value },
      { "service", Attributes().service.value },
      { "cause", dispatch::FailureCauseName(aAction.cause) },
      { "last_event",
        mStateMachine.LastEventId() ? std::to_string(*mStateMachine.LastEventId()) : "none" },
      { "after_ms", std::to_string((mContext.Now() - Attributes().arrivedAt).ms) } });
  mResponder->Abort();
  Finish("cut");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::SendResponse(int aStatus,
                                std::vector<entry::server_header> aHeaders,
                                std::string aBody)
{
  mResponder->Send({ aStatus, std::move(aHeaders), std::move(aBody), mContext.stopping });
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Finish(const char* aOutcome)
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  while (!mAttempts.empty()) {
    attempt& cancelled = *mAttempts.back();
    cancelled.Watch(mContext.Now());
    if (cancelled.isStalled) {
      ReportLoss(cancelled, ScopeOfStandstill(cancelled));
    } else if (!cancelled.responseInfo &&
               cancelled.watchedFor > exchange_limits::kMaxUnansweredWait) {
      ReportLoss(cancelled, loss_scope::silent_head);
    }
    EndAttempt(cancelled, "cancelled");
  }
  mContext.loop.CancelTimer(mDeadlineTimer);
  if (mRetryTimer) {
    mContext.loop.CancelTimer(*mRetryTimer);
  }
  mContext.metrics.Count(
    kCalls, { { "kind", routes::CallKindName(Attributes().kind) }, { "outcome", aOutcome } });
  WriteLog(kCallAnswered,
           { { "request", Attributes().id.value },
             { "service", Attributes().service.value },
             { "outcome", aOutcome },
             { "model", Attributes().model.value },
             { "sent", std::to_string(mStateMachine.SendCount()) },
             { "first_ms", mFirstByteDelay ? std::to_string(mFirstByteDelay->ms) : "none" },
             { "target_ms", std::to_string(Attributes().latencyTarget.ms) },
             { "longest_gap_ms", std::to_string(mLongestGap.ms) },
             { "gap_target_ms", std::to_string(Attributes().eventGapTarget.ms) },
             { "unread_ms", std::to_string(Attributes().unreadFor.ms) },
             { "after_ms", std::to_string((mContext.Now() - Attributes().arrivedAt).ms) } });
  const auto self = this->shared_from_this();
  mRegistry.Remove(this);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnShutdown()
{
  if (mEnded) {
    return;
  }
  if (mStreaming) {
    Execute(dispatch::abort_action{ dispatch::failure_cause::stopping });
  } else if (mAttempts.empty()) {
    Execute(mStateMachine.OnDeadline());
  } else {
    Execute(dispatch::fail_action{ dispatch::failure_cause::stopping });
  }
}

} // namespace persimmon::gateway
