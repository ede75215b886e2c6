#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::gateway {

/// A caller's call as its dialect reads it.
struct incoming_call
{
  /// The caller's name of this attempt; empty when it gave none.
  request_id id;
  std::string host;
  /// Path without the query, for the choice of the route.
  std::string path;
  /// How long the caller waits.
  std::optional<duration> timeout;
  /// The customer's key; empty when there is none.
  std::string apiKey;
  /// Last event that the caller holds from an earlier stream.
  std::optional<std::uint64_t> resumeAfter;
  routes::model_name model;
  std::uint64_t promptTokens = 0;
  std::uint64_t maxOutputTokens = 0;
  /// Bytes of the request's line and headers.
  std::size_t headerBytes = 0;
};

} // namespace persimmon::gateway
