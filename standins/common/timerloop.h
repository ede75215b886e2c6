#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace persimmon::standins {

/// One thread that runs functions at set times, one after the other.
class timer_loop
{
public:
  timer_loop();
  /// Stops.
  ~timer_loop();

  /// Runs a function once, after a span.
  void After(duration aSpan, std::function<void()> aFunction);
  /// Runs a function again and again, with at least this span between two starts.
  void Every(duration aPeriod, const std::function<void()>& aFunction);
  /// Waits for the running function and drops all others.
  void Stop();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::standins
