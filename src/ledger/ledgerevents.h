#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::ledger {

constexpr log_event kIntentCommitted{ 5001, "ledger_intent_committed", log_level::debug };
constexpr log_event kBeginRefused{ 5002, "ledger_begin_refused", log_level::info };
constexpr log_event kStoreCallFailed{ 5003, "ledger_store_call_failed", log_level::warning };
constexpr log_event kObjectUnreadable{ 5004, "ledger_object_unreadable", log_level::error };
constexpr log_event kCloseDropped{ 5005, "ledger_close_dropped", log_level::warning };
constexpr log_event kSliceDropped{ 5006, "ledger_slice_dropped", log_level::debug };

inline constexpr std::array kLedgerEvents = { kIntentCommitted,  kBeginRefused, kStoreCallFailed,
                                              kObjectUnreadable, kCloseDropped, kSliceDropped };

} // namespace persimmon::ledger
