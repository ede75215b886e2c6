#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/callkind.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>

namespace persimmon::dispatch {

/// What decides about a call, as its caller and its route tell.
struct call_attributes
{
  request_id id;
  service_name service;
  routes::call_kind kind = routes::call_kind::non_idempotent;
  /// Running it twice does no harm.
  bool retryable = false;
  /// Its stream may go on at another upstream.
  bool resumable = false;
  /// Model that it asks for; empty for plain services.
  routes::model_name model;
  /// Tokens of its prompt, and at most of its answer.
  std::uint64_t promptTokens = 0;
  std::uint64_t maxOutputTokens = 0;
  /// Last event that the caller holds from an earlier stream.
  std::optional<std::uint64_t> resumeAfter;
  time_point arrivedAt;
  /// When the caller or the route no longer waits.
  time_point deadline;
  duration latencyTarget;
  /// Longest pause between events that is still on time.
  duration eventGapTarget;
  std::uint32_t maxAttempts = 1;
};

} // namespace persimmon::dispatch
