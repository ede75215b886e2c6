#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::poison {

constexpr log_event kRequestSuspected{ 4008, "request_suspected", log_level::warning };
constexpr log_event kRequestQuarantined{ 4009, "request_quarantined", log_level::error };
constexpr log_event kSuspectCleared{ 4010, "suspect_cleared", log_level::info };
constexpr log_event kQuarantinedRefused{ 4011, "quarantined_refused", log_level::info };

/// All log events of this module.
inline constexpr std::array kPoisonEvents{ kRequestSuspected,
                                           kRequestQuarantined,
                                           kSuspectCleared,
                                           kQuarantinedRefused };

} // namespace persimmon::poison
