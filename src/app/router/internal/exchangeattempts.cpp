#include "app/router/exchange.h"

#include "app/router/attemptheaders.h"
#include "app/router/problem.h"
#include "app/router/routerevents.h"
#include "app/router/routermetrics.h"
#include "base/hash.h"
#include "routing/routingevents.h"
#include "routing/routingmetrics.h"

#include <algorithm>
#include <fmt/format.h>

// What upstreams answer to the attempts of an exchange.

namespace persimmon::router {
namespace {

constexpr std::size_t kMaxAnswerBytes = 16U << 20U;
/// Bytes that a slow caller may leave untaken before the upstream is made to wait.
constexpr std::size_t kMaxPendingBytes = 256U << 10U;
constexpr duration kCallGrace = 1_s;
/// Between the signs of life that a stream gives to the choice of upstreams.
constexpr duration kProgressInterval = 500_ms;
constexpr int kOk = 200;

/// Returns a number that differs for each run of an upstream: each incarnation of an instance and
/// each generation of a group.
std::uint64_t
UpstreamRun(const routing::upstream& aUpstream)
{
  return HashText(fmt::format("{}/{}", aUpstream.incarnationId.value, aUpstream.generation.value));
}

} // namespace

upstream::call_handlers
exchange::HandlersFor(routing::attempt_number aAttempt)
{
  const auto self = shared_from_this();
  return {
    [self, aAttempt](const upstream::response_head& aHead) { self->OnHead(aAttempt, aHead); },
    [self, aAttempt](std::string_view aBytes) { self->OnData(aAttempt, aBytes); },
    [self, aAttempt](const upstream::call_outcome& aOutcome) { self->OnDone(aAttempt, aOutcome); }
  };
}

void
exchange::Do(const routing::dispatch_attempt& aAction)
{
  const routing::upstream& target = *mAttempt.chosen.choice.target;
  mAttempt.held.clear();
  mAttempt.head = {};
  mAttempt.dispatched = true;
  mEndTold = false;
  mNextProgress = {};
  mTried.push_back(target.id);
  mFramer.DropPartial();
  mKept.Resize(0);
  mBroken = false;
  RecordAttempt(aAction.resumeAfter);
  mContext.suspects.Started({ mAttempt.id, mCall.fingerprint, target.id, UpstreamRun(target) },
                            Now());
  upstream::upstream_call call;
  call.address = target.address;
  call.method = mCall.method;
  call.target = mCall.target;
  call.headers = AttemptHeaders(mRequest, mCall, mId, mAttempt.id, target, aAction.resumeAfter);
  call.body = mRequest.body;
  call.timeout = mDeadline - Now() + kCallGrace;
  call.freshConnection = !mCall.idempotent;
  mAttempt.call = mLoop.Start(std::move(call), HandlersFor(aAction.attempt));
}

void
exchange::Do(const routing::cancel_attempt&)
{
  mRelaying = false;
  mEndTold = true;
  mLoop.Cancel(mAttempt.call);
  Note("attempt_cancelled", "attempt=" + mAttempt.id.value);
}

void
exchange::Do(const routing::report_attempt& aAction)
{
  static constexpr std::array kNames{ "completed", "refused", "failed", "cancelled" };
  const char* name = kNames[static_cast<std::size_t>(aAction.outcome)];
  const auto tokens = static_cast<std::uint32_t>(mFramer.Events());
  mCall.service->FinishAttempt(mAttempt.chosen.ticket, { aAction.outcome, tokens }, Now());
  if (aAction.outcome == routing::attempt_outcome::completed) {
    mContext.suspects.Completed(mAttempt.id, Now());
  } else if (aAction.outcome == routing::attempt_outcome::failed && mBroken) {
    ProbeUpstream();
  } else {
    mContext.suspects.Ended(mAttempt.id);
  }
  mContext.metrics.Count(kAttemptsTotal,
                         { { "service", mRecord.service.value }, { "outcome", name } });
  Note("attempt_ended", fmt::format("attempt={} outcome={}", mAttempt.id.value, name));
}

bool
exchange::StreamExpected() const
{
  return mCall.streamed && mAttempt.head.status == kOk;
}

void
exchange::OnHead(routing::attempt_number aAttempt, const upstream::response_head& aHead)
{
  if (aAttempt != mAttempt.number) {
    return;
  }
  mAttempt.head = aHead;
  if (const auto load = ReadLoad(aHead, Now())) {
    mCall.service->Report(mAttempt.chosen.ticket.slot, *load);
  }
  Handle(ReadHead(aHead, aAttempt));
}

void
exchange::OnData(routing::attempt_number aAttempt, std::string_view aBytes)
{
  if (aAttempt != mAttempt.number || mEndTold) {
    return;
  }
  if (StreamExpected()) {
    OnStreamData(aBytes);
    return;
  }
  const std::size_t size = mAttempt.held.size() + aBytes.size();
  if (size > kMaxAnswerBytes || !mKept.Resize(size)) {
    Handle(routing::flow_answer_too_large{ aAttempt });
    return;
  }
  mAttempt.held.append(aBytes);
}

bool
exchange::KeepHeld()
{
  const std::size_t incomplete = mFramer.PartialBytes();
  return incomplete <= upstream::kMaxEventBytes && mKept.Resize(mAttempt.held.size() + incomplete);
}

void
exchange::OnStreamData(std::string_view aBytes)
{
  const std::string_view whole = mFramer.Accept(aBytes);
  if (mRelaying) {
    Write(whole);
  } else if (!whole.empty()) {
    mAttempt.held.append(whole);
    Handle(routing::flow_first_bytes{ mAttempt.number });
  }
  if (mFramer.SawEnd()) {
    EndAttempt(true, {});
  } else if (!KeepHeld()) {
    mLoop.Cancel(mAttempt.call);
    EndAttempt(false, { upstream::call_end::maybe_sent, false, 0, true, "event too large" });
  } else {
    TellProgress();
  }
}

void
exchange::TellProgress()
{
  const time_point now = Now();
  if (mEndTold || now < mNextProgress) {
    return;
  }
  mNextProgress = now + kProgressInterval;
  const auto tokens = static_cast<std::uint32_t>(mFramer.Events());
  mCall.service->Progress(mAttempt.chosen.ticket, tokens, now);
}

void
exchange::Write(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  mResponder->Write(aBytes);
  if (!mPaused && mResponder->PendingBytes() > kMaxPendingBytes) {
    mPaused = true;
    mLoop.Pause(mAttempt.call);
  }
}

void
exchange::OnDrain()
{
  if (mPaused) {
    mPaused = false;
    mLoop.Resume(mAttempt.call);
  }
}

void
exchange::OnDone(routing::attempt_number aAttempt, const upstream::call_outcome& aOutcome)
{
  if (aAttempt == mAttempt.number) {
    // A stream is whole when its end mark has come, which was told before.
    EndAttempt(aOutcome.end == upstream::call_end::whole && !StreamExpected(), aOutcome);
  }
}

void
exchange::EndAttempt(bool aWhole, const upstream::call_outcome& aOutcome)
{
  if (mEndTold) {
    return;
  }
  mEndTold = true;
  mRelaying = false;
  mBroken = !aWhole && aOutcome.end == upstream::call_end::maybe_sent;
  if (!aWhole) {
    WriteLog(kAttemptFailed,
             { { "request", mId.value },
               { "attempt", mAttempt.id.value },
               { "upstream", mAttempt.chosen.choice.target->id.value },
               { "detail", aOutcome.detail } });
  }
  Handle(routing::flow_attempt_ended{ mAttempt.number,
                                      aWhole,
                                      aOutcome.end == upstream::call_end::not_sent,
                                      mFramer.Events(),
                                      aOutcome.detail });
}

} // namespace persimmon::router
