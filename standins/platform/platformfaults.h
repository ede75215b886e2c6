#pragma once

#include "base/clock.h"
#include "base/json.h"

#include <cstdint>
#include <optional>

namespace persimmon::standins {

/// The faults of the stand-in platform that are in force.
struct platform_faults
{
  /// Every call is answered 503 and does nothing.
  bool down = false;
  /// Added to each call, half before it takes effect and half after.
  duration slow;
  /// Share of the writes whose reply is lost after they took effect.
  std::int64_t loseReplyPercent = 0;
  /// Calls a second beyond which 429 is answered; 0 for no limit.
  std::uint64_t callsPerSecond = 0;
  /// Watches are accepted and never answered.
  bool stallWatch = false;

  static std::optional<platform_faults> Parse(const nlohmann::json& aValue, json_problem& aProblem);
  [[nodiscard]] nlohmann::json Render() const;
};

} // namespace persimmon::standins
