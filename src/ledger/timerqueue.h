#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace persimmon::ledger {

/// Calls functions at given times of the boot clock, on a thread of its own.
class timer_queue
{
public:
  using callback = std::function<void()>;

  timer_queue();
  /// Ends the thread; timers still set are forgotten.
  ~timer_queue();

  void Add(time_point aAt, callback aCallback);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::ledger
