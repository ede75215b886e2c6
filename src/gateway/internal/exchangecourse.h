#pragma once

// Definitions of the class template in gateway/exchange.h.

namespace persimmon::gateway {
namespace exchange_limits {

/// An upstream's own answer at the deadline is waited for this long.
constexpr duration kDeadlineGrace = 80_ms;
/// Silence between events after which the group is asked for its state.
constexpr duration kSilence = 230_ms;
/// Wait for a first event after which the group is asked for its state.
constexpr duration kFirstSilence = 700_ms;
/// A stream that was heard later than this does not follow its group's loss.
constexpr duration kStillHeard = 150_ms;
/// An upstream that could not be reached gets no call for this time.
constexpr duration kUnreachableAvoidance = 600_ms;
/// An upstream that refused as full gets no call for this time.
constexpr duration kFullAvoidance = 100_ms;
/// Time that the registered instances take to show that an address changed hands.
constexpr duration kMisdirectedAvoidance = 1_s;
/// An idempotent call without an answer gets a second upstream after this multiple of its target.
constexpr std::int64_t kSecondAfterTargets = 1;

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
  where.remaining = aStep.deadline - now;
  where.resumeAfter = aStep.resumeAfter;
  where.rank = aStep.rank;
  auto made = std::make_unique<attempt>();
  attempt* raw = made.get();
  raw->upstream = target->id;
  raw->startedAt = now;
  raw->heardAt = now;
  raw->pendingTokens = Facts().promptTokens;
  raw->framer.StartAfter(aStep.resumeAfter);
  mAttempts.push_back(std::move(made));
  mContext.board.Started(raw->upstream, raw->pendingTokens);
  WriteLog(kCallSent,
           { { "request", Facts().id.value },
             { "service", Facts().service.value },
             { "upstream", raw->upstream.value },
             { "attempt", std::to_string(mPlan.Sent()) },
             { "resume_after", aStep.resumeAfter ? std::to_string(*aStep.resumeAfter) : "none" },
             { "rank", dispatch::UrgencyName(aStep.rank) },
             { "left_ms", std::to_string(where.remaining.ms) } });
  upstream::call_handlers handlers;
  const auto weak = this->weak_from_this();
  handlers.onHead = [weak, raw](const upstream::response_head& aHead) {
    const auto self = weak.lock();
    if (self && self->Find(raw) != nullptr) {
      self->OnHead(*raw, aHead);
    }
  };
  handlers.onData = [weak, raw](std::string_view aData) {
    const auto self = weak.lock();
    if (self && self->Find(raw) != nullptr) {
      self->OnData(*raw, aData);
    }
  };
  handlers.onDone = [weak, raw](const upstream::call_outcome& aOutcome) {
    const auto self = weak.lock();
    if (self && self->Find(raw) != nullptr) {
      self->OnDone(*raw, aOutcome);
    }
  };
  raw->call = mContext.loop.Start(Dialect::MakeCall(mRequest, mCall, where), std::move(handlers));
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
exchange<Dialect>::OnHead(attempt& aAttempt, const upstream::response_head& aHead)
{
  const time_point now = mContext.Now();
  aAttempt.heardAt = now;
  aAttempt.head = aHead;
  aAttempt.facts = Dialect::ReadAnswer(aHead, mCall);
  const answer_facts& facts = *aAttempt.facts;
  mContext.board.Heard(aAttempt.upstream, now);
  if (facts.load) {
    mContext.board.NoteLoad(aAttempt.upstream, *facts.load, now);
  }
  if (!facts.matches) {
    OnLost(aAttempt, "answer_of_another_call", true);
  } else if (facts.notRun) {
    OnNotRun(aAttempt);
  } else if (facts.altered || PromisesNotRun(facts.status)) {
    OnLost(aAttempt, "answer_without_proof", true);
  } else if (facts.status < kStatusFirstNotSuccess && !facts.isSigned) {
    OnLost(aAttempt, "unsigned_answer", true);
  } else if (facts.status == kStatusOk && facts.isStream) {
    OnStreamHead(aAttempt);
  } else if (mStreaming) {
    OnLost(aAttempt, "stream_not_resumed", true);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnStreamHead(attempt& aAttempt)
{
  if (mStreaming) {
    return;
  }
  mStreaming = true;
  mPlan.AnswerBegan();
  const auto end = mContext.stopping ? entry::stream_end::closes : entry::stream_end::keeps;
  mResponder->StartStream(aAttempt.facts->status, Dialect::AnswerHeaders(aAttempt.head), end);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnData(attempt& aAttempt, std::string_view aData)
{
  if (!aAttempt.facts) {
    return;
  }
  if (aAttempt.facts->isStream && aAttempt.facts->status == kStatusOk) {
    OnStreamData(aAttempt, aData);
    return;
  }
  aAttempt.heardAt = mContext.Now();
  aAttempt.body.append(aData);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnStreamData(attempt& aAttempt, std::string_view aData)
{
  const time_point now = mContext.Now();
  const std::uint64_t before = aAttempt.framer.Events();
  const std::string_view events = aAttempt.framer.Accept(aData);
  mContext.board.Heard(aAttempt.upstream, now);
  if (aAttempt.framer.HasGap()) {
    OnLost(aAttempt, "events_missing", true);
    return;
  }
  const std::uint64_t fresh = aAttempt.framer.Events() - before;
  if (fresh > 0) {
    if (aAttempt.sawEvent) {
      const duration gap = now - aAttempt.heardAt;
      aAttempt.longestGap = std::max(aAttempt.longestGap, gap);
      mContext.board.NotePace(aAttempt.upstream, gap / static_cast<std::int64_t>(fresh));
    } else {
      mContext.board.Answered(aAttempt.upstream, aAttempt.pendingTokens, now);
      aAttempt.pendingTokens = 0;
    }
    aAttempt.sawEvent = true;
    aAttempt.heardAt = now;
    NoteBytes();
    if (const auto last = aAttempt.framer.LastEvent()) {
      mPlan.EventPassed(*last);
    }
    mResponder->Write(events);
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnDone(attempt& aAttempt, const upstream::call_outcome& aOutcome)
{
  const time_point now = mContext.Now();
  if (aOutcome.end == upstream::call_end::not_sent) {
    mContext.board.Avoid(aAttempt.upstream, now + exchange_limits::kUnreachableAvoidance);
    mContext.board.NoteOutcome(aAttempt.upstream, false, now);
    mContext.onStandstill(aAttempt.upstream);
    Do(mPlan.NotSent(Drop(aAttempt, "not_sent"), now));
    return;
  }
  if (aOutcome.end == upstream::call_end::maybe_sent || !aAttempt.facts) {
    mContext.onStandstill(aAttempt.upstream);
    OnLost(aAttempt, "broken_off", true);
    return;
  }
  if (aAttempt.facts->isStream && aAttempt.facts->status == kStatusOk) {
    OnStreamEnd(aAttempt);
    return;
  }
  Deliver(aAttempt);
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnStreamEnd(attempt& aAttempt)
{
  if (aAttempt.framer.HasPartial()) {
    OnLost(aAttempt, "ended_within_event", true);
    return;
  }
  mContext.board.NoteOutcome(aAttempt.upstream, true, mContext.Now());
  mContext.metrics.Observe(kEventGap, static_cast<double>(aAttempt.longestGap.ms) / 1000);
  mResponder->FinishStream();
  Drop(aAttempt, "whole");
  Finish("answered");
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnNotRun(attempt& aAttempt)
{
  const time_point now = mContext.Now();
  const bool misdirected = aAttempt.facts->misdirected;
  mContext.board.Avoid(
    aAttempt.upstream,
    now + (misdirected ? exchange_limits::kMisdirectedAvoidance : exchange_limits::kFullAvoidance));
  mContext.board.NoteOutcome(aAttempt.upstream, false, now);
  if (mContext.board.GroupOfHead(aAttempt.upstream) != nullptr) {
    mContext.onStandstill(aAttempt.upstream);
  }
  Do(mPlan.NotRun(Drop(aAttempt, misdirected ? "misdirected" : "not_run"), now));
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnLost(attempt& aAttempt, const char* aWhy, bool aFault)
{
  const time_point now = mContext.Now();
  if (aFault) {
    mContext.board.NoteOutcome(aAttempt.upstream, false, now);
  }
  Do(mPlan.Lost(Drop(aAttempt, aWhy), now));
}

template<gateway_dialect Dialect>
bool
exchange<Dialect>::TryElsewhere(attempt& aAttempt)
{
  const bool failed = aAttempt.facts->status >= kStatusFirstServerError;
  if (!failed || !Facts().mayRepeat || mPlan.Sent() >= Facts().maxAttempts) {
    return false;
  }
  if (mContext.Budget(Facts().service).Left(mContext.Now()) < 1) {
    return false;
  }
  OnLost(aAttempt, "upstream_error", false);
  return true;
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::Deliver(attempt& aAttempt)
{
  const time_point now = mContext.Now();
  const bool good = aAttempt.facts->status < kStatusFirstServerError;
  mContext.board.NoteOutcome(aAttempt.upstream, good, now);
  if (TryElsewhere(aAttempt)) {
    return;
  }
  if (good) {
    mContext.board.NotePace(aAttempt.upstream, now - aAttempt.startedAt);
  }
  NoteBytes();
  Answer(aAttempt.facts->status, Dialect::AnswerHeaders(aAttempt.head), std::move(aAttempt.body));
  Drop(aAttempt, "whole");
  Finish("answered");
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
exchange<Dialect>::NoteBytes()
{
  const time_point now = mContext.Now();
  if (mFirstByte) {
    mLongestGap = std::max(mLongestGap, now - mLastByte);
  } else {
    mFirstByte = now - Facts().arrived;
    mContext.metrics.Observe(kFirstByte,
                             static_cast<double>(mFirstByte->ms) / 1000,
                             { { "kind", routes::CallKindName(Facts().kind) } });
  }
  mLastByte = now;
}

template<gateway_dialect Dialect>
attempt*
exchange<Dialect>::Find(const attempt* aAttempt)
{
  for (const attempt_ptr& one : mAttempts) {
    if (one.get() == aAttempt) {
      return one.get();
    }
  }
  return nullptr;
}

template<gateway_dialect Dialect>
instance_id
exchange<Dialect>::Drop(attempt& aAttempt, const char* aResult)
{
  instance_id upstream = aAttempt.upstream;
  mContext.board.Ended(upstream, aAttempt.pendingTokens);
  mContext.loop.Cancel(aAttempt.call);
  mContext.metrics.Count(kAttempts, { { "result", aResult } });
  WriteLog(kAttemptEnded,
           { { "request", Facts().id.value },
             { "upstream", upstream.value },
             { "result", aResult },
             { "status", aAttempt.facts ? std::to_string(aAttempt.facts->status) : "none" },
             { "events", std::to_string(aAttempt.framer.Events()) },
             { "longest_gap_ms", std::to_string(aAttempt.longestGap.ms) },
             { "after_ms", std::to_string((mContext.Now() - aAttempt.startedAt).ms) } });
  std::erase_if(mAttempts,
                [&aAttempt](const attempt_ptr& aOne) { return aOne.get() == &aAttempt; });
  return upstream;
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
exchange<Dialect>::Watch()
{
  const time_point now = mContext.Now();
  for (const attempt_ptr& one : mAttempts) {
    const duration silence = now - one->heardAt;
    const duration patience =
      one->sawEvent ? exchange_limits::kSilence : exchange_limits::kFirstSilence;
    if (Facts().kind == routes::call_kind::streaming && silence > patience) {
      mContext.onStandstill(one->upstream);
    }
  }
  const duration waited = now - Facts().arrived;
  const duration target = Facts().latencyTarget * exchange_limits::kSecondAfterTargets;
  if (Facts().kind == routes::call_kind::idempotent && mAttempts.size() == 1 && waited > target &&
      !mAttempts.front()->facts) {
    if (const auto second = mPlan.Second(now)) {
      Do(*second);
    }
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::UpstreamsChanged()
{
  if (!mEnded && mWait) {
    mContext.loop.CancelTimer(*mWait);
    mWait.reset();
    Do(mPlan.Retry(mContext.Now()));
  }
}

template<gateway_dialect Dialect>
void
exchange<Dialect>::GroupLost(const instance_id& aHead)
{
  const time_point now = mContext.Now();
  for (const attempt_ptr& one : mAttempts) {
    const bool silent = now - one->heardAt > exchange_limits::kStillHeard;
    if (one->upstream == aHead && silent && Facts().mayRepeat) {
      OnLost(*one, "group_lost", false);
      return;
    }
  }
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
