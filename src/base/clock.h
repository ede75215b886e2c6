#pragma once

#include <compare>
#include <concepts>
#include <cstdint>

namespace persimmon {

/// A span of time in milliseconds.
struct duration
{
  std::int64_t ms = 0;

  auto operator<=>(const duration&) const = default;
  constexpr duration operator+(duration aOther) const { return { ms + aOther.ms }; }
  constexpr duration operator-(duration aOther) const { return { ms - aOther.ms }; }
  constexpr duration operator*(std::int64_t aFactor) const { return { ms * aFactor }; }
  constexpr duration operator/(std::int64_t aDivisor) const { return { ms / aDivisor }; }
};

/// A moment in milliseconds since an origin that only its own clock knows.
struct time_point
{
  std::int64_t ms = 0;

  auto operator<=>(const time_point&) const = default;
  constexpr time_point operator+(duration aSpan) const { return { ms + aSpan.ms }; }
  constexpr time_point operator-(duration aSpan) const { return { ms - aSpan.ms }; }
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

/// Anything that tells the time to a shell; decision logic is given time_point values instead.
template<typename T>
concept clock_source = requires(const T& aClock)
{
  {
    aClock.Now()
    } -> std::same_as<time_point>;
};

/// Monotonic time that stands still while the machine is suspended.
struct steady_clock
{
  [[nodiscard]] time_point Now() const;
};

/// Monotonic time that goes on while the machine is suspended; leases are measured with it.
struct boot_clock
{
  [[nodiscard]] time_point Now() const;
};

/// Time since the Unix epoch; only for stamps that leave the process.
struct wall_clock
{
  [[nodiscard]] time_point Now() const;
};

/// A clock that a test sets by hand.
class manual_clock
{
public:
  [[nodiscard]] time_point Now() const { return mNow; }
  void Set(time_point aNow) { mNow = aNow; }
  void Advance(duration aSpan) { mNow = mNow + aSpan; }

private:
  time_point mNow;
};

} // namespace persimmon
