#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "entry/responder.h"
#include "loop/eventloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace persimmon::entry {

struct server_options
{
  /// Loops of the server's own, each with a thread; all listeners share them.
  std::size_t threads = 2;
  /// Largest body that is read; a connection that sends more is closed.
  std::size_t maxBodyBytes = 16U << 20U;
  /// How long a caller may take none of an answer's bytes before it is given up.
  duration writeTimeout{ 30000 };
  /// Loops to share instead of own threads; they must have been stopped before the server is.
  std::vector<loop::event_loop*> loops{};
};

/// Handles one request on the thread of its connection's loop; must not block.
using request_handler = std::function<void(server_request, std::shared_ptr<responder>)>;

/// An HTTP/1.1 server over RESTinio with any number of listeners. Each loop accepts for itself, so
/// that a connection stays on one thread.
class http_server
{
public:
  explicit http_server(const server_options& aOptions);
  /// Stops.
  ~http_server();

  /// Starts to listen; port 0 takes a free one. Returns the address in use, or nothing with
  /// LastReason() telling why.
  std::optional<endpoint> Listen(const endpoint& aAddress, request_handler aHandler);
  /// Stops one listener; connections that are open stay so.
  void Close(const endpoint& aAddress);
  /// Stops all listeners and threads and drops all connections.
  void Stop();
  [[nodiscard]] const std::string& LastReason() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

/// Splits `ip:port`; the port is empty when the text has none.
std::optional<std::pair<std::string, std::uint16_t>>
SplitEndpoint(const endpoint& aAddress);

} // namespace persimmon::entry
