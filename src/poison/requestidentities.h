#pragma once

#include <cstdint>
#include <vector>

namespace persimmon::poison {

/// What a request that crashes its upstreams may be recognised by when it, or another with the same
/// part, comes again.
struct request_identities
{
  /// Fingerprint of the whole request.
  std::uint64_t request = 0;
  /// Fingerprints of the parts of its prompt that other requests may have too.
  std::vector<std::uint64_t> promptParts;
};

} // namespace persimmon::poison
