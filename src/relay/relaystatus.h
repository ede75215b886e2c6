#pragma once

namespace persimmon::relay {

// Status codes with which a relay answers a CONNECT request (RFC 9110, 9.3.6).

constexpr int kTunnelOpen = 200;
constexpr int kInvalidRequest = 400;
/// No upstream is registered at the address, or the relay does not reach it itself.
constexpr int kNoPath = 403;
/// The key is not that of the peers.
constexpr int kWrongKey = 407;
/// The upstream refused the connection.
constexpr int kUpstreamRefused = 502;
/// The relay itself reaches no upstream, is stopping, or has too many tunnels.
constexpr int kRelayUnavailable = 503;
/// The upstream did not accept the connection in time.
constexpr int kUpstreamSilent = 504;

} // namespace persimmon::relay
