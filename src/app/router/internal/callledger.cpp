#include "app/router/callledger.h"

#include "base/hash.h"
#include "base/random.h"
#include "ledger/ledgerservice.h"
#include "platform/httpobjectstore.h"

namespace persimmon::router {
namespace {

constexpr duration kStoreTimeout = 1_s;
constexpr duration kLongestPatience = 1_s;

using routing::refusal_reason;

refusal_reason
ReasonOf(ledger::begin_verdict aVerdict)
{
  using ledger::begin_verdict;
  switch (aVerdict) {
    case begin_verdict::granted:
    case begin_verdict::done:
      return refusal_reason::answer_not_kept;
    case begin_verdict::in_progress:
      return refusal_reason::call_in_progress;
    case begin_verdict::unknown:
      return refusal_reason::outcome_unknown;
    case begin_verdict::key_conflict:
      return refusal_reason::key_conflict;
    case begin_verdict::bad_key:
      return refusal_reason::bad_idempotency_key;
    case begin_verdict::key_too_old:
      return refusal_reason::key_too_old;
    case begin_verdict::key_in_future:
      return refusal_reason::key_in_future;
    case begin_verdict::full:
      return refusal_reason::ledger_full;
    case begin_verdict::overloaded:
      return refusal_reason::ledger_overloaded;
    case begin_verdict::store_unavailable:
      return refusal_reason::ledger_unavailable;
  }
  return refusal_reason::ledger_unavailable;
}

ledger_answer
AnswerOf(const ledger::begin_reply& aReply)
{
  if (aReply.permit) {
    return { routing::flow_intent_granted{}, aReply.permit, std::nullopt };
  }
  if (aReply.result.response) {
    return { routing::flow_stored_answer_found{}, std::nullopt, aReply.result.response };
  }
  const auto ran = aReply.result.execution == ledger::execution_status::not_executed
                     ? routing::execution_status::not_run
                     : routing::execution_status::unknown;
  return { routing::flow_intent_denied{
             ReasonOf(aReply.result.verdict), ran, aReply.result.retryAfter },
           std::nullopt,
           std::nullopt };
}

ledger::record_state
StateOf(routing::intent_outcome aOutcome)
{
  switch (aOutcome) {
    case routing::intent_outcome::answered:
      return ledger::record_state::done;
    case routing::intent_outcome::not_run:
      return ledger::record_state::not_run;
    case routing::intent_outcome::unknown:
      return ledger::record_state::outcome_unknown;
  }
  return ledger::record_state::outcome_unknown;
}

ledger::ledger_settings
SettingsFor(const router_id& aSelf)
{
  ledger::ledger_settings settings;
  settings.self = { aSelf, EntropySeed() };
  settings.seed = EntropySeed();
  return settings;
}

} // namespace

struct call_ledger::implementation
{
  ledger::ledger_service<platform::http_object_store> service;
};

call_ledger::call_ledger(const router_id& aSelf,
                         const std::string& aStoreUrl,
                         metrics_registry& aMetrics)
  : mImplementation(new implementation{
      { SettingsFor(aSelf),
        [aStoreUrl] { return platform::http_object_store(aStoreUrl, kStoreTimeout); },
        aMetrics } })
{
}

call_ledger::~call_ledger() = default;

void
call_ledger::Begin(const parsed_call& aCall,
                   const std::string& aBody,
                   duration aPatience,
                   std::function<void(ledger_answer)> aDone)
{
  ledger::begin_request request;
  request.key = aCall.key.value;
  request.service = aCall.service->Name();
  request.customer = aCall.customer;
  request.digest = Sha256Hex(aCall.method + " " + aCall.target + "\n" + aBody);
  request.timeout = std::min(aPatience, kLongestPatience);
  mImplementation->service.Begin(
    request,
    [done = std::move(aDone)](const ledger::begin_reply& aReply) { done(AnswerOf(aReply)); });
}

void
call_ledger::Close(const ledger::dispatch_permit& aTicket,
                   routing::intent_outcome aOutcome,
                   std::optional<ledger::stored_response> aAnswer)
{
  mImplementation->service.Close(aTicket, { StateOf(aOutcome), std::move(aAnswer) });
}

bool
call_ledger::Flush(duration aLongest)
{
  return mImplementation->service.Flush(aLongest);
}

} // namespace persimmon::router
