#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/callkind.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>

namespace persimmon::dispatch {

/// Properties of a call, from its request and its route, that decide where and how it is sent.
struct call_attributes
{
  request_id id;
  service_name service;
  routes::call_kind kind = routes::call_kind::non_idempotent;
  /// The call may safely be executed more than once.
  bool retryable = false;
  /// The stream may be resumed at another upstream.
  bool resumable = false;
  /// Requested model; empty for services without an engine.
  routes::model_name model;
  std::uint64_t promptTokens = 0;
  /// Most tokens that the response may have.
  std::uint64_t maxOutputTokens = 0;
  /// Id of the last event that the caller received in an earlier stream; empty for a new stream.
  std::optional<std::uint64_t> resumeAfter;
  time_point arrivedAt;
  /// Time that the call's first bytes waited before they were read.
  duration unreadFor;
  /// Time at which the timeout of the caller or of the route expires.
  time_point deadline;
  /// Target time to the response (for a stream: to its first event); 0 when there is none.
  duration latencyTarget;
  /// Longest gap between two events that still counts as on time.
  duration eventGapTarget;
  std::uint32_t maxAttempts = 1;
  /// Position of the call's priority among those in use, 0 for the most urgent.
  std::size_t rank = 0;
  /// The call is sent only where it finds a slot that it may use, and is refused when there is none
  /// in time.
  bool needsSlot = true;
  /// The caller has probably been refused before: the call can no longer be in time.
  bool isReturning = false;
};

} // namespace persimmon::dispatch
