#pragma once

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>
#include <optional>

namespace persimmon::assembly {

/// How late an order is carried out at the least and at the most.
constexpr duration kLeastLateness{ 2000 };
constexpr duration kMostLateness{ 12000 };

/// Returns how late an order is carried out; empty for each second one, which is answered.
inline std::optional<duration>
DrawLateness(random_source& aRandom)
{
  const auto span = static_cast<std::uint64_t>((kMostLateness - kLeastLateness).ms);
  const duration late{ kLeastLateness.ms + static_cast<std::int64_t>(aRandom.Below(span)) };
  return aRandom.Below(2) == 0 ? std::optional(late) : std::nullopt;
}

} // namespace persimmon::assembly
