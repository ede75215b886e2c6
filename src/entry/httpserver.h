#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "entry/responder.h"
#include "loop/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace persimmon::entry {

class open_connections;

/// Limits and threads of an http_server.
struct server_options
{
  /// Number of event loops that the server creates, each with its own thread and shared by all
  /// listeners. Ignored when `loops` is not empty.
  std::size_t threads = 2;
  /// Maximum size of a request body in bytes; a connection that exceeds it is closed.
  std::size_t maxBodyBytes = 16U << 20U;
  /// Time after which a connection is closed when the client reads no bytes of the response.
  duration writeTimeout{ 30000 };
  /// External event loops to run on instead of own threads. They must be stopped before the server
  /// is stopped.
  std::vector<loop::event_loop*> loops{};
};

/// Handles a request on the thread of its connection's event loop. Must not block.
using request_handler = std::function<void(server_request, std::shared_ptr<responder>)>;

/// HTTP/1.1 server based on RESTinio, with any number of listening addresses. Each event loop
/// accepts its own connections, so a connection is always served by the same thread.
class http_server
{
public:
  explicit http_server(const server_options& aOptions);
  /// Calls Stop().
  ~http_server();

  /// Listens on an address `ip:port`; port 0 selects a free port. Returns the bound address, or
  /// nothing on failure; LastReason() then returns the error.
  std::optional<endpoint> Listen(const endpoint& aAddress, request_handler aHandler);
  /// Stops listening on an address. Open connections are not closed.
  void Close(const endpoint& aAddress);
  /// Sets the time within which the head of a request has to arrive, from its first byte; later
  /// ones end their connection. Holds for all servers on the same event loops, from the next head
  /// on; zero means unlimited.
  void SetHeadTimeLimit(duration aLimit);
  /// Sets the memory for bodies of requests that are being read or have been passed on, in bytes;
  /// zero means unlimited. A request whose body finds no memory is refused as not run. To be called
  /// before the first Listen().
  void SetBodyMemory(std::uint64_t aBytes);
  /// Sets how many connections may be open at all addresses; further ones are closed as they are
  /// accepted. To be called before the first Listen().
  void SetMaxConnections(std::size_t aMost);
  /// Number of open connections at all addresses; thread-safe.
  [[nodiscard]] std::size_t ConnectionCount() const;
  /// Number of connections of an event loop with bytes that their clients have not received; for
  /// the loop's thread, as the next two are.
  [[nodiscard]] std::size_t CountUnsent(std::size_t aLoop) const;
  /// Closes connections without a request for aLimit. Returns their number.
  std::size_t CloseIdle(duration aLimit, std::size_t aLoop);
  /// Closes up to aMost connections without a request, those first that had none for longest.
  /// Returns their number.
  std::size_t CloseLongestIdle(std::size_t aMost, std::size_t aLoop);
  /// Stops all listeners and the server's own threads, and closes all connections.
  void Stop();
  /// Returns the error text of the last Listen(); empty when it succeeded.
  [[nodiscard]] const std::string& LastReason() const;

private:
  struct implementation;
  [[nodiscard]] open_connections& OpenConnections(std::size_t aLoop) const;
  std::unique_ptr<implementation> mImplementation;
};

/// Splits `ip:port`. Returns nothing when the address or a valid port is missing.
std::optional<std::pair<std::string, std::uint16_t>>
SplitEndpoint(const endpoint& aAddress);

} // namespace persimmon::entry
