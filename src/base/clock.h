#pragma once

#include <compare>
#include <concepts>
#include <cstdint>

namespace persimmon {

/// A length of time in milliseconds; may be negative.
struct duration
{
  std::int64_t ms = 0;

  auto operator<=>(const duration&) const = default;
  constexpr duration operator+(duration aOther) const { return { ms + aOther.ms }; }
  constexpr duration operator-(duration aOther) const { return { ms - aOther.ms }; }
  constexpr duration operator*(std::int64_t aFactor) const { return { ms * aFactor }; }
  constexpr duration operator/(std::int64_t aDivisor) const { return { ms / aDivisor }; }
};

/// A point in time in milliseconds since the epoch of the clock that returned it. Values of
/// different clocks must not be mixed.
struct time_point
{
  std::int64_t ms = 0;

  auto operator<=>(const time_point&) const = default;
  constexpr time_point operator+(duration aDuration) const { return { ms + aDuration.ms }; }
  constexpr time_point operator-(duration aDuration) const { return { ms - aDuration.ms }; }
  constexpr duration operator-(time_point aOther) const { return { ms - aOther.ms }; }
};

constexpr duration operator""_ms(unsigned long long aCount)
{
  return { static_cast<std::int64_t>(aCount) };
}

constexpr duration operator""_s(unsigned long long aCount)
{
  return { static_cast<std::int64_t>(aCount) * 1000 };
}

/// A clock that I/O code reads. Decision logic reads no clock; it takes time_point arguments, so
/// that tests control the time.
template<typename T>
concept clock_source = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<time_point>;
};

/// Monotonic time (CLOCK_MONOTONIC); does not advance while the machine is suspended.
struct steady_clock
{
  [[nodiscard]] time_point Now() const;
};

/// Monotonic time (CLOCK_BOOTTIME) that advances while the machine is suspended. Leases are
/// measured with it, so that they expire during a suspension.
struct boot_clock
{
  [[nodiscard]] time_point Now() const;
};

/// Time since the Unix epoch (CLOCK_REALTIME); only for time stamps that leave the process, since
/// it can jump.
struct wall_clock
{
  [[nodiscard]] time_point Now() const;
};

/// A clock for tests that advances only on request.
class manual_clock
{
public:
  [[nodiscard]] time_point Now() const { return mNow; }
  void Set(time_point aNow) { mNow = aNow; }
  void Advance(duration aDuration) { mNow = mNow + aDuration; }

private:
  time_point mNow;
};

} // namespace persimmon
