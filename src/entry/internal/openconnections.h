#pragma once

#include "base/clock.h"
#include "entry/internal/bodymemory.h"
#include "entry/internal/callerconnection.h"

#include <asio/execution_context.hpp>
#include <atomic>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace persimmon::entry {

/// The open connections of all servers on an event loop, and the memory for the bodies that are
/// read from them. Connections may be added and removed by any thread, since a responder that ends
/// elsewhere may hold the last reference to one; closing them is for the thread of the loop.
class open_connections
{
public:
  /// Ends a connection unless a request has begun to arrive. Returns whether it did.
  using closer = std::function<bool()>;

  void Add(const std::shared_ptr<caller_connection>& aConnection, closer aClose);
  void Remove(const caller_connection& aConnection);
  /// Sets how many connections may be open.
  void SetMost(std::size_t aMost) { mMost = aMost; }
  /// Returns whether as many are open as may be.
  [[nodiscard]] bool IsFull() const { return mCount >= mMost; }
  /// Number of open connections; thread-safe.
  [[nodiscard]] std::size_t Count() const { return mCount; }
  /// Number of connections with bytes that their callers have not received.
  [[nodiscard]] std::size_t CountUnsent() const;
  /// Ends the connections that have been idle since before aTime. Returns their number.
  std::size_t CloseIdleSince(time_point aTime);
  /// Ends up to aMost connections, those first that have been idle for longest. Returns their
  /// number.
  std::size_t CloseLongestIdle(std::size_t aMost);
  [[nodiscard]] const std::shared_ptr<body_memory>& Bodies() const { return mBodies; }

private:
  struct entry_of_connection
  {
    std::shared_ptr<caller_connection> connection;
    closer close;
  };
  struct idle_connection
  {
    time_point since;
    const closer* close;
  };

  [[nodiscard]] std::vector<idle_connection> IdleConnections() const;

  mutable std::mutex mMutex;
  std::unordered_map<const caller_connection*, entry_of_connection> mConnections;
  std::atomic<std::size_t> mCount = 0;
  std::atomic<std::size_t> mMost = std::numeric_limits<std::size_t>::max();
  std::shared_ptr<body_memory> mBodies = std::make_shared<body_memory>(0);
};

/// Keeps the open connections of an event loop. Sockets keep them too, since some outlive the
/// services of their loop.
class open_connections_service : public asio::execution_context::service
{
public:
  // asio prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static inline asio::execution_context::id id;

  explicit open_connections_service(asio::execution_context& aContext)
    : asio::execution_context::service(aContext)
  {
  }

  [[nodiscard]] const std::shared_ptr<open_connections>& Connections() const
  {
    return mConnections;
  }

private:
  // asio prescribes the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void shutdown() override {}

  std::shared_ptr<open_connections> mConnections = std::make_shared<open_connections>();
};

} // namespace persimmon::entry
