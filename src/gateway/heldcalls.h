#pragma once

#include "base/clock.h"
#include "entry/responder.h"
#include "entry/serverrequest.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace persimmon::gateway {

/// A call that waits for the end of the process's start.
struct held_call
{
  entry::server_request request;
  std::shared_ptr<entry::responder> responder;
  time_point arrivedAt;
  /// Time until which the caller waits.
  time_point deadline;
  /// Time that its first bytes waited before they were read.
  duration unreadFor{};
};

/// Calls that may wait, and the memory for their bodies. A start takes at most 1.5 s.
constexpr std::size_t kMaxHeldCalls = 2000;
constexpr std::size_t kMaxHeldBytes = 8U << 20U;

/// Keeps the calls that arrive while the process starts, in the order of their arrival. Does no
/// I/O and reads no clock; not thread-safe.
class held_calls
{
public:
  /// Keeps a call. Returns false, and leaves the call as it is, when no more may wait.
  bool TryAdd(held_call& aCall);
  /// Returns the calls in the order of their arrival and keeps none of them.
  [[nodiscard]] std::vector<held_call> TakeAll();
  /// Returns the calls whose deadline has come, in the order of their arrival, and keeps the
  /// others.
  [[nodiscard]] std::vector<held_call> TakeExpired(time_point aNow);
  [[nodiscard]] std::size_t Count() const { return mCalls.size(); }

private:
  std::vector<held_call> mCalls;
  /// Size of their bodies.
  std::size_t mBytes = 0;
};

} // namespace persimmon::gateway
