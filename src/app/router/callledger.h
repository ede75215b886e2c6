#pragma once

#include "app/router/parsedcall.h"
#include "ledger/begincall.h"
#include "metrics/metrics.h"
#include "routing/requestflowactions.h"
#include "routing/requestflowevents.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmon::router {

/// What the ledger said to an intent.
struct ledger_answer
{
  /// flow_intent_granted, flow_stored_answer_found or flow_intent_denied.
  routing::flow_event event;
  /// Only when granted.
  std::optional<ledger::dispatch_permit> ticket;
  /// Only with flow_stored_answer_found.
  std::optional<ledger::stored_response> known;
};

/// The ledger of calls that may not be repeated, over the platform. Every function may be called
/// from any thread.
class call_ledger
{
public:
  call_ledger(const router_id& aSelf, const std::string& aStoreUrl, metrics_registry& aMetrics);
  ~call_ledger();

  /// Asks for the intent to dispatch a call; aDone is called exactly once, on any thread.
  void Begin(const parsed_call& aCall,
             const std::string& aBody,
             duration aPatience,
             std::function<void(ledger_answer)> aDone);
  /// Records how a granted call ended; aAnswer counts only for `done`.
  void Close(const ledger::dispatch_permit& aTicket,
             routing::intent_outcome aOutcome,
             std::optional<ledger::stored_response> aAnswer);
  /// Waits until all ends are recorded; false when time ran out.
  bool Flush(duration aLongest);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::router
