#include "app/router/callerfront.h"

#include "app/router/exchange.h"
#include "app/router/problem.h"
#include "app/router/routerevents.h"
#include "app/router/routermetrics.h"
#include "app/router/statuspage.h"
#include "base/random.h"

#include <fmt/format.h>

namespace persimmon::router {
namespace {

using routing::refusal_reason;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kLifeDigits = 8;
constexpr std::string_view kExplainPrefix = "/explain/";

entry::server_response
TextPage(int aStatus, std::string aBody)
{
  return { aStatus, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(aBody) };
}

entry::server_response
JsonPage(std::string aBody)
{
  return { kOk, { { "Content-Type", "application/json" } }, std::move(aBody) };
}

} // namespace

caller_front::caller_front(zone_name aZone,
                           std::size_t aMaxBodyBytes,
                           cluster_board& aBoard,
                           const readiness& aReadiness,
                           upstream::upstream_client& aUpstreams,
                           exchange_context& aContext)
  : mZone(std::move(aZone))
  , mBoard(aBoard)
  , mReadiness(aReadiness)
  , mUpstreams(aUpstreams)
  , mContext(aContext)
  , mParser([&aBoard](const service_name& aName) { return aBoard.Service(aName); }, aMaxBodyBytes)
  , mLife(random_source(EntropySeed()).NextHex().substr(0, kLifeDigits))
{
}

void
caller_front::Handle(entry::server_request aRequest, std::shared_ptr<entry::responder> aResponder)
{
  if (!HandlePage(aRequest, *aResponder)) {
    HandleCall(std::move(aRequest), std::move(aResponder));
  }
}

bool
caller_front::HandlePage(const entry::server_request& aRequest, entry::responder& aResponder)
{
  if (aRequest.method != "GET") {
    return false;
  }
  if (aRequest.path == "/ready") {
    const bool ready = mReadiness.Ready();
    aResponder.Send(TextPage(ready ? kOk : kServiceUnavailable, ready ? "ready\n" : "not ready\n"));
  } else if (aRequest.path == "/metrics") {
    mContext.metrics.Set(kRequestsInFlight, static_cast<double>(mContext.registry.Count()));
    aResponder.Send(TextPage(kOk, mContext.metrics.Render()));
  } else if (aRequest.path == "/status") {
    SendStatus(aResponder);
  } else if (aRequest.path == "/v1/models") {
    SendModels(aRequest, aResponder);
  } else if (aRequest.path.starts_with(kExplainPrefix)) {
    SendExplanation(aRequest.path.substr(kExplainPrefix.size()), aResponder);
  } else {
    return false;
  }
  return true;
}

void
caller_front::SendStatus(entry::responder& aResponder)
{
  const status_facts facts{ mContext.router, mZone, mReadiness.Ready(), mContext.registry.Count() };
  aResponder.Send(JsonPage(RenderStatusPage(facts, mBoard, steady_clock().Now())));
}

void
caller_front::SendModels(const entry::server_request& aRequest, entry::responder& aResponder)
{
  const std::string key = BearerKey(aRequest);
  if (key.empty()) {
    Refuse({ refusal_reason::missing_credentials, {} }, aRequest, aResponder);
    return;
  }
  aResponder.Send(JsonPage(RenderModels(mBoard, key)));
}

void
caller_front::SendExplanation(const std::string& aRequest, entry::responder& aResponder)
{
  const auto record = mContext.decisions.Find({ aRequest });
  aResponder.Send(record ? TextPage(kOk, RenderDecisions(*record))
                         : TextPage(kNotFound, "not remembered here\n"));
}

request_id
caller_front::NextRequestId()
{
  return { fmt::format("{}-{}-{}", mContext.router.value, mLife, ++mLastRequest) };
}

void
caller_front::HandleCall(entry::server_request aRequest,
                         std::shared_ptr<entry::responder> aResponder)
{
  if (mReadiness.closed) {
    Refuse({ refusal_reason::stopping, {} }, aRequest, *aResponder);
    return;
  }
  if (!mReadiness.informed) {
    Refuse({ refusal_reason::not_ready, {} }, aRequest, *aResponder);
    return;
  }
  call_problem problem;
  auto call = mParser.Parse(aRequest, problem);
  if (!call) {
    Refuse(problem, aRequest, *aResponder);
    return;
  }
  upstream::upstream_loop& loop = mUpstreams.Loop(aRequest.loop);
  std::make_shared<exchange>(
    NextRequestId(), std::move(*call), std::move(aRequest), std::move(aResponder), loop, mContext)
    ->Start();
}

void
caller_front::Refuse(const call_problem& aProblem,
                     const entry::server_request& aRequest,
                     entry::responder& aResponder)
{
  routing::refusal refusal;
  refusal.reason = aProblem.reason;
  refusal.detail = aProblem.detail;
  // An earlier call under this key may have run; the ledger was not asked.
  refusal.ran = HasUsableKey(aRequest) ? routing::execution_status::unknown
                                       : routing::execution_status::not_run;
  if (RefusalEntryFor(aProblem.reason).status == kServiceUnavailable) {
    refusal.retryAfter = 1_s;
  }
  const request_id id = NextRequestId();
  const std::string code(RefusalEntryFor(aProblem.reason).code);
  WriteLog(kRequestRefused,
           { { "request", id.value }, { "reason", code }, { "detail", aProblem.detail } });
  mContext.metrics.Count(kRequestsTotal,
                         { { "service", "" }, { "customer", "" }, { "outcome", "refused" } });
  aResponder.Send(RenderProblem(refusal, id));
}

} // namespace persimmon::router
