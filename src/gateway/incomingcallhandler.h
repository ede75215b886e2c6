#pragma once

#include "entry/responder.h"
#include "entry/serverrequest.h"
#include "gateway/exchange.h"
#include "gateway/gatewaycontext.h"
#include "gateway/heldcalls.h"

#include <memory>

namespace persimmon::gateway {

/// Handles callers' requests: checks each against the configuration in force, then starts an
/// exchange for it or refuses it. While the process starts, calls wait.
template<gateway_dialect Dialect>
class incoming_call_handler
{
public:
  incoming_call_handler(gateway_context& aContext, exchange_registry& aRegistry)
    : mContext(aContext)
    , mRegistry(aRegistry)
  {
  }

  /// Handles one request; the response is sent through aResponder. A call that arrives while the
  /// process starts is handled by HandleHeld(), or refused when too many wait.
  void Handle(entry::server_request aRequest, std::shared_ptr<entry::responder> aResponder);
  /// Handles the calls that wait for the end of the start; to be called at that end, and when no
  /// new calls are accepted any more.
  void HandleHeld();
  /// Refuses the calls whose deadline has come while they wait; to be called often during a start.
  void RefuseExpiredHeld();

private:
  /// Route and customer of an admitted request, or the status and cause of its refusal.
  struct admission_result
  {
    /// Status code of the refusal; 0 when admitted.
    int status = 0;
    const char* cause = "";
    /// nullptr when refused.
    const routes::route* route = nullptr;
    /// Empty when the route needs no customer.
    customer_name customer;
    /// Of the customer if it has one, else of the route.
    std::uint32_t priority = 0;
  };

  /// Checks a request against the configuration and the customer's key.
  [[nodiscard]] admission_result CheckAdmission(const entry::server_request& aRequest,
                                                const incoming_call& aCall) const;
  [[nodiscard]] dispatch::call_attributes MakeCallAttributes(const incoming_call& aCall,
                                                             const admission_result& aResult,
                                                             time_point aArrivedAt);
  /// Starts an exchange for a call or refuses it.
  void Admit(held_call aCall);
  /// Logs and counts a refusal, and sends it to the caller.
  void SendRefusal(const incoming_call& aCall,
                   const admission_result& aResult,
                   entry::responder& aResponder);

  gateway_context& mContext;
  exchange_registry& mRegistry;
  held_calls mHeld;
  /// Number of calls without an id of the caller; used to generate their ids.
  std::uint64_t mUnnamedCalls = 0;
};

/// Upper bound of the timeout that a caller may set.
constexpr duration kMaxCallerTimeout = 600_s;
/// Timeout when neither the caller nor the route sets one.
constexpr duration kDefaultTimeout = 30_s;
/// Retry-After of a gateway without a configuration: by then it has probably received one.
constexpr duration kRetryAfterUnconfigured = 1_s;
/// Retry-After of a stopping gateway; short because the retry reaches another gateway.
constexpr duration kRetryAfterStopping = 50_ms;

template<gateway_dialect Dialect>
typename incoming_call_handler<Dialect>::admission_result
incoming_call_handler<Dialect>::CheckAdmission(const entry::server_request& aRequest,
                                               const incoming_call& aCall) const
{
  const auto& table = mContext.upstreams.Routes();
  if (mContext.rejectsNewCalls) {
    return { kStatusUnavailable, "stopping", nullptr, {}, 0 };
  }
  if (!table) {
    return { kStatusUnavailable, "no_configuration", nullptr, {}, 0 };
  }
  if (mContext.starting) {
    return { kStatusUnavailable, "starting", nullptr, {}, 0 };
  }
  const routes::configuration& configuration = table->Configuration();
  if (aCall.headerBytes > configuration.limits.maxHeaderBytes) {
    return { kStatusHeadersTooLarge, "headers_too_large", nullptr, {}, 0 };
  }
  if (aRequest.body.Size() > configuration.limits.maxBodyBytes) {
    return { kStatusContentTooLarge, "body_too_large", nullptr, {}, 0 };
  }
  const routes::route* route = table->FindRoute(aCall.host, aCall.path);
  if (table->IsHidden(route, aCall.host, aCall.path)) {
    return { kStatusUnavailable, "unreadable_route", nullptr, {}, 0 };
  }
  if (route == nullptr) {
    return { kStatusNotFound, "no_route", nullptr, {}, 0 };
  }
  if (configuration.admission == routes::caller_admission::everybody || route->isPublic) {
    return { 0, "", route, {}, route->priority };
  }
  const routes::customer* customer = table->FindCustomer(aCall.apiKey);
  if (customer == nullptr) {
    return { kStatusUnauthorized, "unknown_key", nullptr, {}, 0 };
  }
  return { 0, "", route, customer->name, customer->priority.value_or(route->priority) };
}

template<gateway_dialect Dialect>
dispatch::call_attributes
incoming_call_handler<Dialect>::MakeCallAttributes(const incoming_call& aCall,
                                                   const admission_result& aResult,
                                                   time_point aArrivedAt)
{
  const routes::route& route = *aResult.route;
  dispatch::call_attributes attributes;
  attributes.id =
    aCall.id.Empty() ? request_id{ fmt::format("unnamed-{}", ++mUnnamedCalls) } : aCall.id;
  attributes.service = routes::route_table::PickService(route, mContext.random.Next());
  attributes.kind = route.kind;
  attributes.retryable = route.IsRetryable();
  attributes.resumable = route.resumable;
  attributes.model = aCall.model;
  attributes.promptTokens = aCall.promptTokens;
  attributes.maxOutputTokens = aCall.maxOutputTokens;
  attributes.resumeAfter = aCall.resumeAfter;
  attributes.arrivedAt = aArrivedAt;
  const duration routeTimeout = route.timeout.ms > 0 ? route.timeout : kDefaultTimeout;
  const duration callerTimeout = std::min(aCall.timeout.value_or(routeTimeout), kMaxCallerTimeout);
  attributes.deadline = aArrivedAt + std::min(callerTimeout, routeTimeout);
  attributes.latencyTarget = route.latencyTarget;
  attributes.eventGapTarget = route.eventGapTarget;
  attributes.maxAttempts = std::max<std::uint32_t>(route.maxAttempts, 1);
  attributes.rank = mContext.upstreams.Routes()->RankOf(aResult.priority);
  attributes.needsSlot = mContext.sharesSlots;
  attributes.isReturning =
    mContext.returningCallers.IsReturning(route.host + route.pathPrefix, callerTimeout, aArrivedAt);
  return attributes;
}

template<gateway_dialect Dialect>
void
incoming_call_handler<Dialect>::SendRefusal(const incoming_call& aCall,
                                            const admission_result& aResult,
                                            entry::responder& aResponder)
{
  WriteLog(kCallRefused,
           { { "request", aCall.id.value },
             { "cause", aResult.cause },
             { "host", aCall.host },
             { "path", aCall.path },
             { "version",
               mContext.upstreams.Routes()
                 ? std::to_string(mContext.upstreams.Routes()->Configuration().version)
                 : "none" } });
  mContext.metrics.Count(kRefusals, { { "cause", aResult.cause } });
  duration retryAfter;
  if (aResult.status == kStatusUnavailable) {
    retryAfter = mContext.rejectsNewCalls ? kRetryAfterStopping : kRetryAfterUnconfigured;
  }
  aResponder.Send(
    { aResult.status, Dialect::RetryAfterHeaders(retryAfter), aResult.cause, mContext.stopping });
}

template<gateway_dialect Dialect>
void
incoming_call_handler<Dialect>::Handle(entry::server_request aRequest,
                                       std::shared_ptr<entry::responder> aResponder)
{
  const time_point now = mContext.Now();
  const time_point arrivedAt = std::min(aRequest.receivedAt.value_or(now), now);
  mContext.metrics.Observe(kUnread, MetricSeconds(now - arrivedAt));
  held_call call{ std::move(aRequest), std::move(aResponder), arrivedAt, {}, now - arrivedAt };
  if (mContext.starting) {
    const duration timeout = Dialect::ParseCall(call.request).timeout.value_or(kDefaultTimeout);
    call.deadline = arrivedAt + std::min(timeout, kMaxCallerTimeout);
  }
  const bool waits = mContext.starting && !mContext.rejectsNewCalls && mHeld.TryAdd(call);
  if (!waits) {
    Admit(std::move(call));
  }
}

template<gateway_dialect Dialect>
void
incoming_call_handler<Dialect>::HandleHeld()
{
  for (held_call& call : mHeld.TakeAll()) {
    Admit(std::move(call));
  }
}

template<gateway_dialect Dialect>
void
incoming_call_handler<Dialect>::RefuseExpiredHeld()
{
  for (held_call& call : mHeld.TakeExpired(mContext.Now())) {
    Admit(std::move(call));
  }
}

template<gateway_dialect Dialect>
void
incoming_call_handler<Dialect>::Admit(held_call aCall)
{
  incoming_call call = Dialect::ParseCall(aCall.request);
  admission_result admission = CheckAdmission(aCall.request, call);
  if (admission.route == nullptr) {
    SendRefusal(call, admission, *aCall.responder);
    return;
  }
  dispatch::call_attributes attributes = MakeCallAttributes(call, admission, aCall.arrivedAt);
  attributes.unreadFor = aCall.unreadFor;
  const routes::service_profile* service =
    mContext.upstreams.Routes()->FindService(attributes.service);
  if (service != nullptr && service->engine) {
    mContext.demandMeter.RecordCall(*service->engine,
                                    attributes.model,
                                    attributes.promptTokens,
                                    attributes.maxOutputTokens,
                                    attributes.arrivedAt);
  } else {
    attributes.model = {};
  }
  mContext.upstreams.Slots().OnArrival(
    attributes.service, attributes.model, attributes.rank, mContext.Now());
  dispatch::retry_budget& budget = mContext.RetryBudget(attributes.service);
  std::make_shared<exchange<Dialect>>(mContext,
                                      mRegistry,
                                      budget,
                                      std::move(aCall.request),
                                      std::move(aCall.responder),
                                      std::move(call),
                                      std::move(attributes),
                                      std::move(admission.customer))
    ->Begin();
}

} // namespace persimmon::gateway
