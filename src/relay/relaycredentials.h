#pragma once

#include <string>

namespace persimmon::relay {

/// Returns what a peer sends to prove that it knows the key of all peers: an HMAC-SHA-256, so that
/// the key itself does not cross the network.
std::string
RelayCredentials(const std::string& aKey);

} // namespace persimmon::relay
