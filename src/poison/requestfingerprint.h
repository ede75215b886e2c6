#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>

namespace persimmon::poison {

/// Parts of a request that stay the same when a caller sends it again. Parts that a protocol does
/// not use stay empty.
struct request_identity
{
  std::string_view service;
  std::string_view customer;
  std::string_view method;
  /// Path and query as the caller sent them.
  std::string_view target;
  std::string_view body;
};

/// Returns the fingerprint of a request, which is the same for its retries through any router.
std::uint64_t
RequestFingerprint(const request_identity& aIdentity);

} // namespace persimmon::poison
