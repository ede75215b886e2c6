#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace persimmon::ledger {

/// Runs callbacks at given times of the boot clock, on its own thread.
class timer_queue
{
public:
  using callback = std::function<void()>;

  timer_queue();
  /// Stops the thread; pending timers are discarded.
  ~timer_queue();

  /// Schedules aCallback for aAt; a time in the past runs it as soon as possible.
  void Add(time_point aAt, callback aCallback);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::ledger
