#pragma once

#include "base/clock.h"
#include "ledger/ledgerlayout.h"

#include <functional>
#include <memory>

namespace persimmon::ledger {

/// Calls back at given times of the boot clock, on a thread of its own.
class timer_queue
{
public:
  using callback = std::function<void(const shard_id&)>;

  explicit timer_queue(callback aCallback);
  /// Ends the thread; timers still set are forgotten.
  ~timer_queue();

  void Add(time_point aAt, const shard_id& aShard);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::ledger
