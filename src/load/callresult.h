#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::load {

/// What became of one planned call, its resends included. Spans count from the time for which the
/// call was planned, so a slow system cannot hide delay by holding back later calls.
struct call_result
{
  service_name service;
  bool streamed = false;
  bool answered = false;
  /// Reason code of a refusal, empty for an answer.
  std::string refusal;
  /// When the call was planned, counted from the start.
  duration after;
  /// Until the first text of a streamed answer.
  std::optional<duration> firstToken;
  /// Until the last byte.
  duration whole;
  std::uint64_t tokens = 0;
  std::uint64_t resends = 0;
};

} // namespace persimmon::load
