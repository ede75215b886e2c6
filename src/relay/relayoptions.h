#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstddef>
#include <string>

namespace persimmon::relay {

/// Settings of a relay_server.
struct relay_options
{
  /// Address for the peers; port 0 takes a free one.
  endpoint listen;
  /// What peers must send, see RelayCredentials().
  std::string credentials;
  /// Time within which an upstream must accept a connection. Shorter than the time that the peer
  /// allows, so that it learns which of the two was not reached.
  duration connectTimeout{ 300 };
  /// Tunnels that may be open at the same time; each holds two connections and 16 KiB.
  std::size_t maxTunnels = 512;
};

} // namespace persimmon::relay
