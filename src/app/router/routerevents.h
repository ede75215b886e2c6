#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::router {

constexpr log_event kRouterStarted{ 7001, "router_started", log_level::info };
constexpr log_event kRouterNotStarted{ 7002, "router_not_started", log_level::error };
constexpr log_event kRouterStopping{ 7003, "router_stopping", log_level::info };
constexpr log_event kRouterStopped{ 7004, "router_stopped", log_level::info };
constexpr log_event kWatchFailed{ 7005, "watch_failed", log_level::warning };
constexpr log_event kRequestRefused{ 7010, "request_refused", log_level::info };
constexpr log_event kRequestAnswered{ 7011, "request_answered", log_level::info };
constexpr log_event kStreamBroken{ 7012, "stream_broken", log_level::warning };
constexpr log_event kAttemptFailed{ 7013, "attempt_failed", log_level::warning };
constexpr log_event kStateNotUnderstood{ 7014, "state_not_understood", log_level::warning };

/// All log events of the router's shells.
inline constexpr std::array kRouterEvents{ kRouterStarted,     kRouterNotStarted, kRouterStopping,
                                           kRouterStopped,     kWatchFailed,      kRequestRefused,
                                           kRequestAnswered,   kStreamBroken,     kAttemptFailed,
                                           kStateNotUnderstood };

} // namespace persimmon::router
