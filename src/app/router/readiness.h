#pragma once

#include <atomic>

namespace persimmon::router {

/// Whether the router takes requests; read and written by several threads.
struct readiness
{
  /// Documents and tables are known, from the platform or from peers.
  std::atomic<bool> informed{ false };
  /// A stop was asked for; the balancer is to notice.
  std::atomic<bool> leaving{ false };
  /// New requests are refused.
  std::atomic<bool> closed{ false };

  [[nodiscard]] bool Ready() const { return informed && !leaving; }
};

} // namespace persimmon::router
