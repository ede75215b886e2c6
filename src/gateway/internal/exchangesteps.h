#pragma once

// Definitions of the class template in gateway/exchange.h: execution of the plan's steps.

namespace persimmon::gateway {
namespace exchange_limits {

/// Time after the deadline in which an upstream's own response is still awaited.
constexpr duration kDeadlineGrace = 80_ms;

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
        WriteLog(
          kCallerLeft,
          { { "request", self->Facts().id.value },
            { "after_ms", std::to_string((self->mContext.Now() - self->Facts().arrivedAt).ms) } });
        self->Finish("caller_left");
      }
    });
  });
  StartDeadlineTimer();
  mContext.board.RecordCall(Facts().service, Facts().model, mContext.Now());
  Execute(mPlan.OnArrival(mContext.Now()));
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::StartDeadlineTimer()
{
  const duration left = Facts().deadline - mContext.Now() + exchange_limits::kDeadlineGrace;
  mDeadlineTimer = mContext.loop.After(left, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->mEnded) {
      self->Execute(self->mPlan.OnDeadline());
    }
  });
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::call_action& aStep)
{
  if (!mEnded) {
    std::visit([this](const auto& aAlternative) { this->Execute(aAlternative); }, aStep);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::send_action& aStep)
{
  const fleet::instance* instance = mContext.board.Fleet().Find(aStep.upstream);
  const time_point now = mContext.Now();
  if (instance == nullptr || aStep.deadline <= now) {
    Execute(mPlan.OnNotSent(aStep.upstream, now));
    return;
  }
  upstream_target target;
  target.instance = instance->id;
  target.address = instance->address;
  target.customer = mCustomer;
  target.remainingTime = aStep.deadline - now;
  target.resumeAfter = aStep.resumeAfter;
  target.priority = aStep.priority;
  attempt& added = AddAttempt(target, now);
  WriteLog(kCallSent,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "upstream", added.upstream.value },
             { "attempt", std::to_string(mPlan.SendCount()) },
             { "resume_after", aStep.resumeAfter ? std::to_string(*aStep.resumeAfter) : "none" },
             { "rank", dispatch::QueuePriorityName(aStep.priority) },
             { "left_ms", std::to_string(target.remainingTime.ms) } });
  added.call = mContext.loop.Start(Dialect::MakeCall(mRequest, mCall, target), MakeHandlers(added));
}

template<gateway_dialect Dialect>
attempt&
exchange<Dialect>::AddAttempt(const upstream_target& aTarget, time_point aNow)
{
  auto added = std::make_unique<attempt>();
  added->upstream = aTarget.instance;
  added->startedAt = aNow;
  added->lastReceivedAt = aNow;
  added->pendingPromptTokens = Facts().promptTokens;
  added->framer.StartAfter(aTarget.resumeAfter);
  mContext.board.OnCallStarted(added->upstream, added->pendingPromptTokens);
  mAttempts.push_back(std::move(added));
  return *mAttempts.back();
}

template<gateway_dialect Dialect>
upstream::call_handlers
exchange<Dialect>::MakeHandlers(const attempt& aAttempt)
{
  // The attempt may be removed before its call ends, so look it up by address each time.
  const auto forAttempt = [weak = this->weak_from_this(), key = &aAttempt](auto aHandle) {
    const auto self = weak.lock();
    attempt* found = self ? self->FindAttempt(key) : nullptr;
    if (found != nullptr) {
      aHandle(*self, *found);
    }
  };
  upstream::call_handlers handlers;
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
exchange<Dialect>::Execute(const dispatch::wait_action& aStep)
{
  const duration left = std::max(aStep.until - mContext.Now(), duration{ 1 });
  mRetryTimer = mContext.loop.After(left, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->mEnded && self->mRetryTimer) {
      self->mRetryTimer.reset();
      self->Execute(self->mPlan.OnWaitOver(self->mContext.Now()));
    }
  });
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::refuse_action& aStep)
{
  const char* cause = dispatch::FailureCauseName(aStep.cause);
  WriteLog(kCallRefused,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "model", Facts().model.value },
             { "cause", cause },
             { "retry_after_ms", std::to_string(aStep.retryAfter.ms) },
             { "after_ms", std::to_string((mContext.Now() - Facts().arrivedAt).ms) } });
  mContext.metrics.Count(kRefusals, { { "cause", cause } });
  SendResponse(kStatusUnavailable, Dialect::RefusalHeaders(aStep.retryAfter), cause);
  Finish("refused");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::fail_action& aStep)
{
  const char* cause = dispatch::FailureCauseName(aStep.cause);
  const bool late = aStep.cause == dispatch::failure_cause::time_up;
  WriteLog(kCallFailed,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "cause", cause },
             { "sent", std::to_string(mPlan.SendCount()) },
             { "after_ms", std::to_string((mContext.Now() - Facts().arrivedAt).ms) } });
  SendResponse(late ? kStatusGatewayTimeout : kStatusBadGateway, {}, cause);
  Finish(late ? "timed_out" : "failed");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Execute(const dispatch::abort_action& aStep)
{
  WriteLog(kCallCut,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "cause", dispatch::FailureCauseName(aStep.cause) },
             { "last_event", mPlan.LastEventId() ? std::to_string(*mPlan.LastEventId()) : "none" },
             { "after_ms", std::to_string((mContext.Now() - Facts().arrivedAt).ms) } });
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
    EndAttempt(*mAttempts.back(), "cancelled");
  }
  mContext.loop.CancelTimer(mDeadlineTimer);
  if (mRetryTimer) {
    mContext.loop.CancelTimer(*mRetryTimer);
  }
  mContext.metrics.Count(
    kCalls, { { "kind", routes::CallKindName(Facts().kind) }, { "outcome", aOutcome } });
  WriteLog(kCallAnswered,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "outcome", aOutcome },
             { "model", Facts().model.value },
             { "sent", std::to_string(mPlan.SendCount()) },
             { "first_ms", mFirstByteDelay ? std::to_string(mFirstByteDelay->ms) : "none" },
             { "target_ms", std::to_string(Facts().latencyTarget.ms) },
             { "longest_gap_ms", std::to_string(mLongestGap.ms) },
             { "gap_target_ms", std::to_string(Facts().eventGapTarget.ms) },
             { "after_ms", std::to_string((mContext.Now() - Facts().arrivedAt).ms) } });
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
    Execute(mPlan.OnDeadline());
  } else {
    Execute(dispatch::fail_action{ dispatch::failure_cause::stopping });
  }
}

} // namespace persimmon::gateway
