#pragma once

namespace persimmon::loop {

/// Returns whether the peer of a TCP connection has ended its side, or the connection is broken,
/// also when that waits behind bytes that have not been read. Does not block.
[[nodiscard]] bool
HasPeerEnded(int aSocket);

} // namespace persimmon::loop
