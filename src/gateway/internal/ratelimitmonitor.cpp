#include "gateway/ratelimitmonitor.h"

#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/httpstatus.h"

#include <fmt/format.h>

namespace persimmon::gateway {
namespace {

/// Returns whether the upstream itself has executed the call of a response.
bool
IsExecuted(const response_info& aInfo)
{
  return aInfo.matchesAttempt && aInfo.isSigned && !aInfo.notExecuted &&
         aInfo.status < kFirstNonSuccessStatus;
}

dispatch::limit_observation
MakeObservation(const attempt& aAttempt)
{
  const response_info& info = *aAttempt.responseInfo;
  dispatch::limit_observation observation;
  observation.upstream = aAttempt.upstream;
  observation.incarnationId = aAttempt.incarnationId;
  observation.limit = info.rateLimit;
  // A limit that cannot be read is a limit still.
  observation.executed = IsExecuted(info) && !info.rateLimitUnreadable;
  observation.sentAt = aAttempt.startedAt;
  return observation;
}

} // namespace

void
rate_limit_monitor::LogUnreadable(const attempt& aAttempt)
{
  const response_info& info = *aAttempt.responseInfo;
  if (info.rateLimitUnreadable && info.rateLimitText != mLastUnreadable) {
    mLastUnreadable = info.rateLimitText;
    WriteLog(kUpstreamLimitUnreadable,
             { { "upstream", aAttempt.upstream.value }, { "value", info.rateLimitText } });
  }
}

void
rate_limit_monitor::OnResponse(const attempt& aAttempt)
{
  LogUnreadable(aAttempt);
  const response_info& info = *aAttempt.responseInfo;
  // Another instance, which now has the address, may have answered.
  if (!info.matchesAttempt || info.misdirected) {
    return;
  }
  const auto former = mLimits.Find(aAttempt.upstream);
  const auto message = mLimits.RecordResponse(MakeObservation(aAttempt), steady_clock().Now());
  if (!message) {
    return;
  }
  if ((former ? std::optional(former->limit) : std::nullopt) != message->limit) {
    LogChange(*message, "response");
  }
  onChange(*message);
}

void
rate_limit_monitor::Apply(const peers::rate_limit_message& aMessage)
{
  if (mLimits.Apply(aMessage, steady_clock().Now())) {
    LogChange(aMessage, "peer");
  }
}

void
rate_limit_monitor::LogChange(const peers::rate_limit_message& aMessage, const char* aSource) const
{
  if (!aMessage.limit) {
    WriteLog(kUpstreamLimitEnded, { { "upstream", aMessage.upstream.value }, { "from", aSource } });
    return;
  }
  const auto limit = mLimits.Find(aMessage.upstream);
  WriteLog(kUpstreamLimited,
           { { "upstream", aMessage.upstream.value },
             { "incarnation", std::to_string(aMessage.incarnationId.value) },
             { "limit_per_s", fmt::format("{:.3f}", aMessage.limit->PerSecond()) },
             { "share_per_s", fmt::format("{:.3f}", limit ? limit->share.permitsPerSecond : 0.0) },
             { "gateways", std::to_string(mLimits.Routers().Count()) },
             { "age_ms", std::to_string(aMessage.age.ms) },
             { "from", aSource } });
}

void
rate_limit_monitor::OnSlowTick(const std::vector<router_id>& aLiveGateways)
{
  const time_point now = steady_clock().Now();
  if (mLimits.Routers().SetLive(aLiveGateways, now)) {
    mLimits.OnRoutersChanged(now);
  }
  mLimits.Update(now);
  double share = 0;
  const auto limits = mLimits.All();
  for (const dispatch::limited_upstream& limit : limits) {
    share += limit.share.permitsPerSecond;
  }
  mMetrics.Set(kLimitedUpstreams, static_cast<double>(limits.size()));
  mMetrics.Set(kLimitShare, share);
}

} // namespace persimmon::gateway
