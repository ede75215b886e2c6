#pragma once

// Definitions of the class template in gateway/exchange.h: what its plan decides.

namespace persimmon::gateway {
namespace exchange_limits {

/// An upstream's own answer at the deadline is waited for this long.
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
            { "after_ms", std::to_string((self->mContext.Now() - self->Facts().arrived).ms) } });
        self->Finish("caller_left");
      }
    });
  });
  ArmDeadline();
  mContext.board.NoteCall(Facts().service, Facts().model, mContext.Now());
  Do(mPlan.Begin(mContext.Now()));
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::ArmDeadline()
{
  const duration left = Facts().deadline - mContext.Now() + exchange_limits::kDeadlineGrace;
  mDeadline = mContext.loop.After(left, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->mEnded) {
      self->Do(self->mPlan.TimeUp());
    }
  });
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Do(const dispatch::plan_step& aStep)
{
  if (!mEnded) {
    std::visit([this](const auto& aOne) { this->Do(aOne); }, aStep);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Do(const dispatch::send_step& aStep)
{
  const fleet::instance* target = mContext.board.Fleet().Find(aStep.upstream);
  const time_point now = mContext.Now();
  if (target == nullptr || aStep.deadline <= now) {
    Do(mPlan.NotSent(aStep.upstream, now));
    return;
  }
  upstream_target where;
  where.instance = target->id;
  where.address = target->address;
  where.customer = mCustomer;
  where.remainingTime = aStep.deadline - now;
  where.resumeAfter = aStep.resumeAfter;
  where.priority = aStep.rank;
  attempt& made = AddAttempt(where, now);
  WriteLog(kCallSent,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "upstream", made.upstream.value },
             { "attempt", std::to_string(mPlan.Sent()) },
             { "resume_after", aStep.resumeAfter ? std::to_string(*aStep.resumeAfter) : "none" },
             { "rank", dispatch::UrgencyName(aStep.rank) },
             { "left_ms", std::to_string(where.remainingTime.ms) } });
  made.call = mContext.loop.Start(Dialect::MakeCall(mRequest, mCall, where), HandlersOf(made));
}

template<gateway_dialect Dialect>
attempt&
exchange<Dialect>::AddAttempt(const upstream_target& aTarget, time_point aNow)
{
  auto made = std::make_unique<attempt>();
  made->upstream = aTarget.instance;
  made->startedAt = aNow;
  made->heardAt = aNow;
  made->pendingTokens = Facts().promptTokens;
  made->framer.StartAfter(aTarget.resumeAfter);
  mContext.board.Started(made->upstream, made->pendingTokens);
  mAttempts.push_back(std::move(made));
  return *mAttempts.back();
}

template<gateway_dialect Dialect>
upstream::call_handlers
exchange<Dialect>::HandlersOf(const attempt& aAttempt)
{
  // The attempt may be dropped before its call is.
  const auto on = [weak = this->weak_from_this(), which = &aAttempt](auto aTake) {
    const auto self = weak.lock();
    attempt* found = self ? self->Find(which) : nullptr;
    if (found != nullptr) {
      aTake(*self, *found);
    }
  };
  upstream::call_handlers handlers;
  handlers.onHead = [on](const upstream::response_head& aHead) {
    on([&](exchange& aSelf, attempt& aOne) { aSelf.OnHead(aOne, aHead); });
  };
  handlers.onData = [on](std::string_view aData) {
    on([&](exchange& aSelf, attempt& aOne) { aSelf.OnData(aOne, aData); });
  };
  handlers.onDone = [on](const upstream::call_outcome& aOutcome) {
    on([&](exchange& aSelf, attempt& aOne) { aSelf.OnDone(aOne, aOutcome); });
  };
  return handlers;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Do(const dispatch::wait_step& aStep)
{
  const duration left = std::max(aStep.until - mContext.Now(), duration{ 1 });
  mWait = mContext.loop.After(left, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->mEnded && self->mWait) {
      self->mWait.reset();
      self->Do(self->mPlan.Retry(self->mContext.Now()));
    }
  });
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Do(const dispatch::refuse_step& aStep)
{
  const char* cause = dispatch::PlanCauseName(aStep.cause);
  WriteLog(kCallRefused,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "model", Facts().model.value },
             { "cause", cause },
             { "retry_after_ms", std::to_string(aStep.retryAfter.ms) },
             { "after_ms", std::to_string((mContext.Now() - Facts().arrived).ms) } });
  mContext.metrics.Count(kRefusals, { { "cause", cause } });
  Answer(kStatusUnavailable, Dialect::RefusalHeaders(aStep.retryAfter), cause);
  Finish("refused");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Do(const dispatch::fail_step& aStep)
{
  const char* cause = dispatch::PlanCauseName(aStep.cause);
  const bool late = aStep.cause == dispatch::plan_cause::time_up;
  WriteLog(kCallFailed,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "cause", cause },
             { "sent", std::to_string(mPlan.Sent()) },
             { "after_ms", std::to_string((mContext.Now() - Facts().arrived).ms) } });
  Answer(late ? kStatusGatewayTimeout : kStatusBadGateway, {}, cause);
  Finish(late ? "timed_out" : "failed");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Do(const dispatch::cut_step& aStep)
{
  WriteLog(kCallCut,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "cause", dispatch::PlanCauseName(aStep.cause) },
             { "last_event", mPlan.LastEvent() ? std::to_string(*mPlan.LastEvent()) : "none" },
             { "after_ms", std::to_string((mContext.Now() - Facts().arrived).ms) } });
  mResponder->Abort();
  Finish("cut");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Answer(int aStatus,
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
    Drop(*mAttempts.back(), "cancelled");
  }
  mContext.loop.CancelTimer(mDeadline);
  if (mWait) {
    mContext.loop.CancelTimer(*mWait);
  }
  mContext.metrics.Count(
    kCalls, { { "kind", routes::CallKindName(Facts().kind) }, { "outcome", aOutcome } });
  WriteLog(kCallAnswered,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "outcome", aOutcome },
             { "model", Facts().model.value },
             { "sent", std::to_string(mPlan.Sent()) },
             { "first_ms", mFirstByte ? std::to_string(mFirstByte->ms) : "none" },
             { "target_ms", std::to_string(Facts().latencyTarget.ms) },
             { "longest_gap_ms", std::to_string(mLongestGap.ms) },
             { "gap_target_ms", std::to_string(Facts().gapTarget.ms) },
             { "after_ms", std::to_string((mContext.Now() - Facts().arrived).ms) } });
  const auto self = this->shared_from_this();
  mRegistry.Remove(this);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Stop()
{
  if (mEnded) {
    return;
  }
  if (mStreaming) {
    Do(dispatch::cut_step{ dispatch::plan_cause::stopping });
  } else if (mAttempts.empty()) {
    Do(mPlan.TimeUp());
  } else {
    Do(dispatch::fail_step{ dispatch::plan_cause::stopping });
  }
}

} // namespace persimmon::gateway
