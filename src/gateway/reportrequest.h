#pragma once

#include "fleet/reportresult.h"
#include "gateway/gatewaycontext.h"
#include "gateway/gatewaydialect.h"
#include "gateway/gatewayevents.h"
#include "gateway/httpstatus.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmon::gateway {

/// Records what an engine states of itself in the head of a response to an order or to a request
/// for its report.
template<gateway_dialect Dialect>
void
RecordEngineStatements(gateway_context& aContext,
                       const instance_id& aEngine,
                       const upstream::response_head& aHead)
{
  aContext.statements.OnEngineResponse(aEngine, aHead.status, Dialect::ParseStatements(aHead));
}

/// Returns why a request for a report brought none.
[[nodiscard]] inline fleet::report_failure
ReportFailureOf(const upstream::call_outcome& aOutcome, int aStatus)
{
  if (aOutcome.refused) {
    return fleet::report_failure::refused;
  }
  if (aOutcome.end == upstream::call_end::not_sent) {
    return fleet::report_failure::unreachable;
  }
  if (aStatus == kStatusMisdirected) {
    return fleet::report_failure::misdirected;
  }
  return aStatus == 0 ? fleet::report_failure::no_answer : fleet::report_failure::invalid;
}

/// Requests the report of one engine. aDone receives it, or why no valid one arrived in time. What
/// the engine states of itself in the response's head is kept to.
template<gateway_dialect Dialect>
void
RequestReport(gateway_context& aContext,
              const instance_id& aInstance,
              const endpoint& aAddress,
              std::function<void(fleet::report_result)> aDone)
{
  fleet::instance target;
  target.id = aInstance;
  target.address = aAddress;
  struct received_response
  {
    int status = 0;
    std::string body;
  };
  const auto response = std::make_shared<received_response>();
  upstream::call_handlers handlers;
  handlers.onHead = [&aContext, aInstance, response](const upstream::response_head& aHead) {
    response->status = aHead.status;
    RecordEngineStatements<Dialect>(aContext, aInstance, aHead);
  };
  handlers.onData = [response](std::string_view aData) { response->body.append(aData); };
  handlers.onDone = [&aContext,
                     startedAt = aContext.Now(),
                     response,
                     aInstance,
                     done = std::move(aDone)](const upstream::call_outcome& aOutcome) {
    if (aOutcome.end != upstream::call_end::whole || response->status != kStatusOk) {
      aContext.withoutReport.insert(aInstance);
      const fleet::report_failure failure = ReportFailureOf(aOutcome, response->status);
      const bool isSilence = failure == fleet::report_failure::unreachable ||
                             failure == fleet::report_failure::no_answer;
      const bool wasLate = aContext.watch.WasLateSince(startedAt, aContext.Now());
      done({ std::nullopt, isSilence && wasLate ? fleet::report_failure::inconclusive : failure });
      return;
    }
    aContext.withoutReport.erase(aInstance);
    json_problem problem;
    auto report = Dialect::ParseEngineReport(response->body, problem);
    if (!report) {
      WriteLog(kReportNotUnderstood,
               { { "instance", aInstance.value }, { "problem", problem.Text() } });
    }
    done({ std::move(report), fleet::report_failure::invalid });
  };
  upstream::upstream_call call = Dialect::BuildReportCall(target);
  call.freshConnection = aContext.withoutReport.count(aInstance) != 0;
  aContext.calls.Start(std::move(call), std::move(handlers));
}

} // namespace persimmon::gateway
