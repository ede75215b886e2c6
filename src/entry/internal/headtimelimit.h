#pragma once

#include "base/clock.h"

#include <asio/execution_context.hpp>
#include <atomic>

namespace persimmon::entry {

/// Time within which the head of a request has to arrive, for all connections of an event loop.
/// Thread-safe.
class head_time_limit : public asio::execution_context::service
{
public:
  // asio prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit head_time_limit(asio::execution_context& aContext)
    : asio::execution_context::service(aContext)
  {
  }

  void Set(duration aLimit) { mLimitMs = aLimit.ms; }
  /// Zero means unlimited.
  [[nodiscard]] duration Get() const { return { mLimitMs }; }

private:
  // asio prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown() override {}

  std::atomic<std::int64_t> mLimitMs = 0;
};

} // namespace persimmon::entry
