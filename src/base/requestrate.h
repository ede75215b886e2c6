#pragma once

#include <compare>
#include <cstdint>

namespace persimmon {

/// A rate of requests, in thousandths of a request per second.
struct request_rate
{
  std::uint64_t milliPerSecond = 0;

  auto operator<=>(const request_rate&) const = default;
  [[nodiscard]] constexpr double PerSecond() const
  {
    return static_cast<double>(milliPerSecond) / 1000;
  }
};

} // namespace persimmon
