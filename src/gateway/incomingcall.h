#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// A caller's request as the dialect parses it.
struct incoming_call
{
  /// Id that the caller gave to this attempt; empty when it gave none.
  request_id id;
  /// Value of the Host header.
  std::string host;
  /// Path without the query, used to select the route.
  std::string path;
  /// Time that the caller waits for the response; nothing when it sets no limit.
  std::optional<duration> timeout;
  /// API key of the customer; empty when there is none.
  std::string apiKey;
  /// Id of the last event that the caller received from an earlier stream; nothing for a new
  /// stream.
  std::optional<std::uint64_t> resumeAfter;
  /// Requested model; empty when the caller names none.
  routes::model_name model;
  /// The caller asks for one version of the weights, and takes no response of another one.
  bool expectsVersion = false;
  std::uint64_t promptTokens = 0;
  /// Largest number of tokens that the response may have.
  std::uint64_t maxOutputTokens = 0;
  /// Parts of the prompt that other requests may have too, in their order; empty when there are
  /// none or the caller names none.
  std::vector<prompt_part_id> sharedPromptParts;
  /// Size of the request line and headers in bytes.
  std::size_t headerBytes = 0;
};

} // namespace persimmon::gateway
