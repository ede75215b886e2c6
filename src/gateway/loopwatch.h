#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace persimmon::gateway {

/// Work of the event loop whose time is told apart when the loop is late.
enum class loop_work
{
  /// Requests of callers, until they are sent or refused.
  calls,
  /// Parsing a configuration and putting it in force.
  configuration,
  /// A changed set of instances, with what waits for it.
  instances,
  /// Messages of other gateways.
  mesh,
  /// Groups: orders, reports and probes, as far as ticks start them.
  assembly,
  /// Progress checks of the calls in flight.
  progress,
  /// Metrics, members and limits, each second.
  housekeeping
};
constexpr std::size_t kLoopWorkKinds = 7;

/// Returns the name of a kind of work for logs.
const char*
LoopWorkName(loop_work aWork);

/// What is told of a tick that ran late.
struct late_tick
{
  duration delay;
  /// Time that each kind of work took since the tick before, such as `mesh:120,progress:30`, in
  /// milliseconds; without those that took none.
  std::string work;
};

/// Finds out how late an event loop is, by a tick that is due at fixed intervals, and what it was
/// busy with. Does no I/O and reads no clock; not thread-safe.
class loop_watch
{
public:
  /// Delay of a tick from which it is told.
  static constexpr duration kToldDelay = 250_ms;

  explicit loop_watch(duration aInterval)
    : mInterval(aInterval)
  {
  }

  /// Delay from which a time that runs out in this process tells nothing of others.
  static constexpr duration kMisleadingDelay = 80_ms;

  /// Adds time that was spent on a kind of work.
  void OnWork(loop_work aWork, duration aTime);
  /// Records that the tick runs, and returns how much later than due.
  duration OnTick(time_point aNow);
  /// Returns what is to be told of the tick that ran last; nothing when it was in time.
  [[nodiscard]] std::optional<late_tick> TakeLateTick();

  /// Returns whether the loop has been late since a time, so that what came from others may have
  /// waited here.
  [[nodiscard]] bool WasLateSince(time_point aStart, time_point aNow) const;

private:
  [[nodiscard]] std::string WorkText() const;

  duration mInterval;
  std::optional<time_point> mLastTickAt;
  duration mDelay;
  /// End of the latest misleading delay; nothing before the first.
  std::optional<time_point> mLateUntil;
  /// Time since the tick before, by kind of work.
  std::array<duration, kLoopWorkKinds> mWork{};
};

} // namespace persimmon::gateway
