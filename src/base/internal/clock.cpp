#include "base/clock.h"

#include <ctime>

namespace persimmon {
namespace {

constexpr std::int64_t kMsPerSecond = 1000;
constexpr std::int64_t kNsPerMs = 1000000;

time_point
ReadClock(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  return { now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs };
}

} // namespace

time_point
steady_clock::Now() const
{
  return ReadClock(CLOCK_MONOTONIC);
}

time_point
boot_clock::Now() const
{
  return ReadClock(CLOCK_BOOTTIME);
}

time_point
wall_clock::Now() const
{
  return ReadClock(CLOCK_REALTIME);
}

} // namespace persimmon
