#include "app/router/problem.h"

#include <nlohmann/json.hpp>

namespace persimmon::router {
namespace {

constexpr std::int64_t kMsPerSecond = 1000;

const char*
RanText(routing::execution_status aProof)
{
  return aProof == routing::execution_status::not_run ? "no" : "unknown";
}

std::string
ProblemText(const routing::refusal& aRefusal, const request_id& aRequest)
{
  const routing::refusal_entry& entry = routing::RefusalEntryFor(aRefusal.reason);
  nlohmann::ordered_json body{ { "type", "about:blank" },
                               { "title", entry.title },
                               { "status", entry.status } };
  if (!aRefusal.detail.empty()) {
    body["detail"] = aRefusal.detail;
  }
  body["reason"] = entry.code;
  body["ran"] = RanText(aRefusal.ran);
  body["attempt_ran"] = RanText(aRefusal.attemptRan);
  body["request"] = aRequest.value;
  return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

/// Whole seconds, rounded up, as Retry-After has them.
std::string
Seconds(duration aSpan)
{
  return std::to_string((aSpan.ms + kMsPerSecond - 1) / kMsPerSecond);
}

} // namespace

entry::server_response
RenderProblem(const routing::refusal& aRefusal, const request_id& aRequest)
{
  entry::server_response response;
  response.status = routing::RefusalEntryFor(aRefusal.reason).status;
  response.headers = { { "Content-Type", "application/problem+json" },
                       { "Persimmon-Request", aRequest.value } };
  if (aRefusal.retryAfter.ms > 0) {
    response.headers.push_back({ "Retry-After", Seconds(aRefusal.retryAfter) });
  }
  if (response.status == 401) {
    response.headers.push_back({ "WWW-Authenticate", "Bearer" });
  }
  response.body = ProblemText(aRefusal, aRequest);
  return response;
}

std::string
RenderErrorEvent(const routing::refusal& aRefusal, const request_id& aRequest)
{
  return "event: error\ndata: " + ProblemText(aRefusal, aRequest) + "\n\n";
}

} // namespace persimmon::router
