#pragma once

#include "app/router/callledger.h"
#include "app/router/deathprober.h"
#include "app/router/decisionlog.h"
#include "app/router/requestregistry.h"
#include "app/router/suspectboard.h"
#include "base/ids.h"
#include "history/historywriter.h"
#include "metrics/metrics.h"

namespace persimmon::router {

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
};

} // namespace persimmon::router
