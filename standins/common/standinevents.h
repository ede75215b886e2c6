#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::standins {

constexpr log_event kStandinStarted{ 9001, "standin_started", log_level::info };
constexpr log_event kStandinStopped{ 9002, "standin_stopped", log_level::info };
constexpr log_event kFaultsChanged{ 9003, "faults_changed", log_level::info };
constexpr log_event kOrderHandled{ 9004, "order_handled", log_level::info };
constexpr log_event kListenFailed{ 9005, "listen_failed", log_level::error };

inline constexpr std::array kStandinEvents = { kStandinStarted,
                                               kStandinStopped,
                                               kFaultsChanged,
                                               kOrderHandled,
                                               kListenFailed };

} // namespace persimmon::standins
