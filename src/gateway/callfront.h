#pragma once

#include "entry/responder.h"
#include "entry/serverrequest.h"
#include "gateway/exchange.h"
#include "gateway/gatewaycontext.h"

#include <memory>

namespace persimmon::gateway {

/// Takes callers' requests: checks them against the configuration in force and begins an exchange
/// for each that may be served.
template<gateway_dialect Dialect>
class call_front
{
public:
  call_front(gateway_context& aContext, exchange_registry& aRegistry)
    : mContext(aContext)
    , mRegistry(aRegistry)
  {
  }

  void Handle(entry::server_request aRequest, std::shared_ptr<entry::responder> aResponder);

private:
  /// Why a request is not served, or where it goes.
  struct admission
  {
    int status = 0;
    const char* cause = "";
    const routes::route* route = nullptr;
    customer_name customer;
  };

  [[nodiscard]] admission Admit(const entry::server_request& aRequest,
                                const incoming_call& aCall) const;
  [[nodiscard]] dispatch::call_facts MakeFacts(const incoming_call& aCall,
                                               const admission& aAdmission);
  void Refuse(const incoming_call& aCall, const admission& aWhy, entry::responder& aResponder);

  gateway_context& mContext;
  exchange_registry& mRegistry;
  std::uint64_t mUnnamed = 0;
};

/// Waits that a caller names beyond this are cut to it.
constexpr duration kLongestPatience = 600_s;
/// Wait of a caller that names none, where the route has no limit either.
constexpr duration kDefaultPatience = 30_s;
/// A caller comes back when the configuration is likely to be known.
constexpr duration kReturnWhenUnconfigured = 1_s;
/// A caller that comes back reaches another gateway.
constexpr duration kReturnElsewhere = 50_ms;

template<gateway_dialect Dialect>
typename call_front<Dialect>::admission
call_front<Dialect>::Admit(const entry::server_request& aRequest, const incoming_call& aCall) const
{
  const auto& table = mContext.board.Routes();
  if (mContext.closing) {
    return { kStatusUnavailable, "stopping", nullptr, {} };
  }
  if (!table) {
    return { kStatusUnavailable, "no_configuration", nullptr, {} };
  }
  const routes::configuration& source = table->Source();
  if (aCall.headerBytes > source.limits.maxHeaderBytes) {
    return { kStatusHeadersTooLarge, "headers_too_large", nullptr, {} };
  }
  if (aRequest.body.size() > source.limits.maxBodyBytes) {
    return { kStatusTooLarge, "body_too_large", nullptr, {} };
  }
  const routes::route* route = table->FindRoute(aCall.host, aCall.path);
  if (route == nullptr) {
    return { kStatusNotFound, "no_route", nullptr, {} };
  }
  if (source.customers.empty() || route->isPublic) {
    return { 0, "", route, {} };
  }
  const routes::customer* customer = table->FindCustomer(aCall.apiKey);
  if (customer == nullptr) {
    return { kStatusUnauthorized, "unknown_key", nullptr, {} };
  }
  return { 0, "", route, customer->name };
}

template<gateway_dialect Dialect>
dispatch::call_facts
call_front<Dialect>::MakeFacts(const incoming_call& aCall, const admission& aAdmission)
{
  const routes::route& route = *aAdmission.route;
  const time_point now = mContext.Now();
  dispatch::call_facts facts;
  facts.id = aCall.id.Empty() ? request_id{ fmt::format("unnamed-{}", ++mUnnamed) } : aCall.id;
  facts.service = routes::route_table::PickService(route, mContext.random.Next());
  facts.kind = route.kind;
  facts.mayRepeat = route.MayRepeat();
  facts.resumable = route.resumable;
  facts.model = aCall.model;
  facts.promptTokens = aCall.promptTokens;
  facts.outputTokens = aCall.maxOutputTokens;
  facts.resumeAfter = aCall.resumeAfter;
  facts.arrived = now;
  const duration longest = route.timeout.ms > 0 ? route.timeout : kDefaultPatience;
  const duration patience = std::min(aCall.timeout.value_or(longest), kLongestPatience);
  facts.deadline = now + std::min(patience, longest);
  facts.latencyTarget = route.latencyTarget;
  facts.gapTarget = route.gapTarget;
  facts.maxAttempts = std::max<std::uint32_t>(route.maxAttempts, 1);
  return facts;
}

template<gateway_dialect Dialect>
void
call_front<Dialect>::Refuse(const incoming_call& aCall,
                            const admission& aWhy,
                            entry::responder& aResponder)
{
  WriteLog(kCallRefused,
           { { "request", aCall.id.value },
             { "cause", aWhy.cause },
             { "host", aCall.host },
             { "path", aCall.path },
             { "version",
               mContext.board.Routes() ? std::to_string(mContext.board.Routes()->Source().version)
                                       : "none" } });
  mContext.metrics.Count(kRefusals, { { "cause", aWhy.cause } });
  duration comeBack;
  if (aWhy.status == kStatusUnavailable) {
    comeBack = mContext.closing ? kReturnElsewhere : kReturnWhenUnconfigured;
  }
  aResponder.Send(
    { aWhy.status, Dialect::RefusalHeaders(comeBack), aWhy.cause, mContext.stopping });
}

template<gateway_dialect Dialect>
void
call_front<Dialect>::Handle(entry::server_request aRequest,
                            std::shared_ptr<entry::responder> aResponder)
{
  incoming_call call = Dialect::ReadCall(aRequest);
  admission admitted = Admit(aRequest, call);
  if (admitted.route == nullptr) {
    Refuse(call, admitted, *aResponder);
    return;
  }
  dispatch::call_facts facts = MakeFacts(call, admitted);
  const routes::service_profile* service = mContext.board.Routes()->FindService(facts.service);
  if (service != nullptr && service->engine) {
    mContext.demand.Note(
      *service->engine, facts.model, facts.promptTokens, facts.outputTokens, facts.arrived);
  } else {
    facts.model = {};
  }
  dispatch::repeat_budget& budget = mContext.Budget(facts.service);
  std::make_shared<exchange<Dialect>>(mContext,
                                      mRegistry,
                                      budget,
                                      std::move(aRequest),
                                      std::move(aResponder),
                                      std::move(call),
                                      std::move(facts),
                                      std::move(admitted.customer))
    ->Begin();
}

} // namespace persimmon::gateway
