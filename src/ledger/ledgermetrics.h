#pragma once

#include "metrics/metrics.h"

#include <array>

namespace persimmon::ledger {

constexpr metric_spec kBeginsTotal{ "persimmon_ledger_begins_total",
                                    "Non-idempotent calls by the ledger's verdict." };
constexpr metric_spec kBeginSeconds{ "persimmon_ledger_begin_seconds",
                                     "Time until a non-idempotent call had its verdict." };
constexpr metric_spec kStoreCallsTotal{ "persimmon_ledger_store_calls_total",
                                        "Calls to the store by kind and result." };
constexpr metric_spec kIntentsWrittenTotal{ "persimmon_ledger_intents_written_total",
                                            "Intents in writes to the store." };
constexpr metric_spec kWaitingCloses{ "persimmon_ledger_waiting_closes",
                                      "Closes that wait for the store." };

inline constexpr std::array kLedgerMetrics = { kBeginsTotal,
                                               kBeginSeconds,
                                               kStoreCallsTotal,
                                               kIntentsWrittenTotal,
                                               kWaitingCloses };

} // namespace persimmon::ledger
