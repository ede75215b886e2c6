#pragma once

#include "base/log.h"

#include <array>

namespace persimmon::relay {

constexpr log_event kTunnelRefused{ 9501, "tunnel_refused", log_level::info };
constexpr log_event kTunnelEnded{ 9502, "tunnel_ended", log_level::info };

/// All log events of relays.
inline constexpr std::array kRelayEvents{ kTunnelRefused, kTunnelEnded };

} // namespace persimmon::relay
