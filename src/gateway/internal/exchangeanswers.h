#pragma once

// Definitions of the class template in gateway/exchange.h: what upstreams answer.

namespace persimmon::gateway {
namespace exchange_limits {

/// An upstream that could not be reached gets no call for this time.
constexpr duration kUnreachableAvoidance = 600_ms;
/// An upstream that refused as full gets no call for this time.
constexpr duration kFullAvoidance = 100_ms;
/// Time that the registered instances take to show that an address changed hands.
constexpr duration kMisdirectedAvoidance = 1_s;

} // namespace exchange_limits

template<gateway_dialect Dialect>
void
exchange<Dialect>::OnHead(attempt& aAttempt, const upstream::response_head& aHead)
{
  const time_point now = mContext.Now();
  aAttempt.heardAt = now;
  aAttempt.head = aHead;
  aAttempt.facts = Dialect::ReadAnswer(aHead, mCall);
  const response_info& facts = *aAttempt.facts;
  mContext.board.Heard(aAttempt.upstream, now);
  if (facts.load) {
    mContext.board.NoteLoad(aAttempt.upstream, *facts.load, now);
  }
  if (!facts.matchesAttempt) {
    OnLost(aAttempt, "answer_of_another_call", true);
  } else if (facts.notExecuted) {
    OnNotRun(aAttempt);
  } else if (facts.bodyModified || PromisesNotRun(facts.status)) {
    OnLost(aAttempt, "answer_without_proof", true);
  } else if (facts.status < kStatusFirstNotSuccess && !facts.isSigned) {
    OnLost(aAttempt, "unsigned_answer", true);
  } else if (facts.status == kStatusOk && facts.isEventStream) {
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
  if (aAttempt.facts->isEventStream && aAttempt.facts->status == kStatusOk) {
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
  if (aAttempt.facts->isEventStream && aAttempt.facts->status == kStatusOk) {
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

} // namespace persimmon::gateway
