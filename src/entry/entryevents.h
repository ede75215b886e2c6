#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::entry {

constexpr log_event kRequestRejected{ 7020, "request_rejected", log_level::info };

/// All log events of the entry module.
inline constexpr std::array kEntryEvents{ kRequestRejected };

} // namespace persimmon::entry
