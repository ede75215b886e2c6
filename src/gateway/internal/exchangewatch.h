#pragma once

// Definitions of the class template in gateway/exchange.h: its attempts and time.

namespace persimmon::gateway {
namespace exchange_limits {

/// Silence between events after which the group is asked for its state.
constexpr duration kSilence = 230_ms;
/// Wait for a first event after which the group is asked for its state.
constexpr duration kFirstSilence = 700_ms;
/// A stream that was heard later than this does not follow its group's loss.
constexpr duration kStillHeard = 150_ms;
/// An idempotent call without an answer gets a second upstream after this multiple of its target.
constexpr std::int64_t kSecondAfterTargets = 1;

} // namespace exchange_limits

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

} // namespace persimmon::gateway
