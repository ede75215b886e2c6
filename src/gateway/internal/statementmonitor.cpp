#include "gateway/statementmonitor.h"

#include "gateway/gatewayevents.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/httpstatus.h"

#include <fmt/format.h>

namespace persimmon::gateway {
namespace {

/// Texts that are logged; an upstream that invents values does not fill the memory.
constexpr std::size_t kMaxLoggedTexts = 64;

/// Returns whether the upstream itself has executed the call of a response.
bool
IsExecuted(const response_info& aInfo)
{
  return aInfo.isSigned && !aInfo.notExecuted && aInfo.status < kFirstNonSuccessStatus;
}

} // namespace

void
statement_monitor::OnResponse(const attempt& aAttempt)
{
  const response_info& info = *aAttempt.responseInfo;
  // Another instance, which now has the address, may have answered.
  if (!info.matchesAttempt || info.misdirected || info.refusedForCaller) {
    return;
  }
  dispatch::statement_observation observation;
  observation.upstream = aAttempt.upstream;
  observation.incarnationId = aAttempt.incarnationId;
  observation.statements = info.statements;
  observation.isUnavailable = info.status == kStatusUnavailable;
  observation.executed = IsExecuted(info);
  observation.sentAt = aAttempt.startedAt;
  Record(observation);
}

void
statement_monitor::OnEngineResponse(const instance_id& aEngine,
                                    int aStatus,
                                    const dispatch::upstream_statements& aStatements)
{
  const fleet::instance* known = mUpstreams.Fleet().Find(aEngine);
  if (known == nullptr || aStatus == kStatusMisdirected) {
    return;
  }
  dispatch::statement_observation observation;
  observation.upstream = aEngine;
  observation.incarnationId = known->incarnationId;
  observation.statements = aStatements;
  observation.isUnavailable = aStatus == kStatusUnavailable;
  observation.sentAt = steady_clock().Now();
  Record(observation);
}

void
statement_monitor::Record(const dispatch::statement_observation& aObservation)
{
  LogUnreadable(aObservation);
  const dispatch::condition_changes changes =
    mUpstreams.Conditions().Record(aObservation, steady_clock().Now());
  if (changes.limit) {
    if (changes.limitChanged) {
      LogLimit(*changes.limit, source::response);
    }
    onStatement(*changes.limit);
  }
  if (changes.pause) {
    ReportPause(aObservation, *changes.pause);
  }
  if (changes.leaving) {
    ReportLeaving(*changes.leaving, source::response);
    onStatement(*changes.leaving);
  }
}

void
statement_monitor::Apply(const peers::leaving_message& aMessage)
{
  if (mUpstreams.Conditions().Apply(aMessage)) {
    ReportLeaving(aMessage, source::peer);
  }
}

void
statement_monitor::Apply(const peers::rate_limit_message& aMessage)
{
  if (mUpstreams.Conditions().Apply(aMessage, steady_clock().Now())) {
    LogLimit(aMessage, source::peer);
  }
}

void
statement_monitor::ReportLeaving(const peers::leaving_message& aMessage, source aFrom)
{
  const char* from = aFrom == source::response ? "response" : "peer";
  mMetrics.Count(kUpstreamsLeaving, { { "from", from } });
  WriteLog(kUpstreamLeaving,
           { { "upstream", aMessage.instance.value },
             { "incarnation", std::to_string(aMessage.incarnationId.value) },
             { "from", from } });
  onLeaving();
}

void
statement_monitor::ReportPause(const dispatch::statement_observation& aObservation, duration aKept)
{
  mMetrics.Count(kUpstreamPauses, {});
  WriteLog(kUpstreamPaused,
           { { "upstream", aObservation.upstream.value },
             { "incarnation", std::to_string(aObservation.incarnationId.value) },
             { "pause_ms", std::to_string(aObservation.statements.pause->ms) },
             { "kept_ms", std::to_string(aKept.ms) } });
}

void
statement_monitor::LogLimit(const peers::rate_limit_message& aMessage, source aFrom) const
{
  const char* from = aFrom == source::response ? "response" : "peer";
  if (!aMessage.limit) {
    WriteLog(kUpstreamLimitEnded, { { "upstream", aMessage.upstream.value }, { "from", from } });
    return;
  }
  const dispatch::upstream_rate_limits& limits = mUpstreams.Conditions().Limits();
  const auto limit = limits.Find(aMessage.upstream);
  WriteLog(kUpstreamLimited,
           { { "upstream", aMessage.upstream.value },
             { "incarnation", std::to_string(aMessage.incarnationId.value) },
             { "limit_per_s", fmt::format("{:.3f}", aMessage.limit->PerSecond()) },
             { "share_per_s", fmt::format("{:.3f}", limit ? limit->share.permitsPerSecond : 0.0) },
             { "gateways", std::to_string(limits.Routers().Count()) },
             { "age_ms", std::to_string(aMessage.age.ms) },
             { "from", from } });
}

void
statement_monitor::LogUnreadable(const dispatch::statement_observation& aObservation)
{
  for (const std::string& text : aObservation.statements.unreadable) {
    if (mLogged.size() < kMaxLoggedTexts && mLogged.insert(text).second) {
      WriteLog(kStatementUnreadable,
               { { "upstream", aObservation.upstream.value }, { "statement", text } });
    }
  }
}

void
statement_monitor::OnSlowTick(const std::vector<router_id>& aLiveGateways)
{
  const time_point now = steady_clock().Now();
  dispatch::upstream_rate_limits& limits = mUpstreams.Conditions().Limits();
  if (limits.Routers().SetLive(aLiveGateways, now)) {
    limits.OnRoutersChanged(now);
  }
  mUpstreams.Conditions().Update(now);
  double share = 0;
  const auto limited = limits.All();
  for (const dispatch::limited_upstream& limit : limited) {
    share += limit.share.permitsPerSecond;
  }
  mMetrics.Set(kLimitedUpstreams, static_cast<double>(limited.size()));
  mMetrics.Set(kLimitShare, share);
}

} // namespace persimmon::gateway
