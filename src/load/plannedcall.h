#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::load {

/// One call that is to be made, whatever became of those before it.
struct planned_call
{
  std::uint64_t number = 0;
  /// When the call is to be sent, counted from the start; latencies count from here.
  duration after;
  service_name service;
  customer_name customer;
  std::string customerKey;
  std::string method;
  std::string path;
  std::string body;
  /// Bound of the whole answer, which the call carries.
  duration deadline;
  /// 0 (first) to 7.
  int priority = 3;
  bool streamed = false;
  /// True for a call to a plain service.
  bool plain = false;
  /// Set for a call that may not be repeated.
  std::optional<idempotency_key> key;
  /// True when a call with a key is sent again although it was answered.
  bool duplicate = false;
  /// How long after sending the caller leaves.
  std::optional<duration> leaveAfter;
};

} // namespace persimmon::load
