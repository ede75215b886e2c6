#pragma once

#include "app/router/callledger.h"
#include "app/router/deathprober.h"
#include "app/router/decisionlog.h"
#include "app/router/requestregistry.h"
#include "app/router/suspectboard.h"
#include "base/ids.h"
#include "history/historywriter.h"
#include "metrics/metrics.h"
#include "upstream/bodybudget.h"

#include <cstddef>
#include <memory>

namespace persimmon::router {

/// Memory for answers that are kept until they are complete, of all requests together, in bytes:
/// one alone may keep half of it, more than the largest answer.
constexpr std::size_t kAnswerBudgetBytes = 64U << 20U;

/// What all exchanges of a router share; it outlives them.
struct exchange_context
{
  router_id router;
  history::history_writer& history;
  metrics_registry& metrics;
  decision_log& decisions;
  request_registry& registry;
  call_ledger& ledger;
  suspect_board& suspects;
  death_prober& prober;
  /// What all requests keep of answers that are not complete.
  std::shared_ptr<upstream::body_budget> answers =
    std::make_shared<upstream::body_budget>(kAnswerBudgetBytes);
};

} // namespace persimmon::router
