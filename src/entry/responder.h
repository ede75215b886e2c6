#pragma once

#include "entry/serverresponse.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace persimmon::entry {

/// What happens to the connection after FinishStream().
enum class stream_end
{
  closes,
  keeps
};

/// Responds to a request, either with a complete response or with a stream of chunks. All functions
/// are thread-safe; sending has no effect after the response has ended or the client has
/// disconnected. Destruction aborts a response that has not ended.
class responder
{
public:
  class implementation;

  explicit responder(std::shared_ptr<implementation> aImplementation);
  ~responder();
  responder(const responder&) = delete;
  responder& operator=(const responder&) = delete;

  /// Sends a complete response.
  void Send(server_response aResponse);
  /// Sends the status and headers of a streamed response. With stream_end::keeps, the connection
  /// serves the client's next request after FinishStream().
  void StartStream(int aStatus,
                   const std::vector<server_header>& aHeaders,
                   stream_end aEnd = stream_end::closes);
  /// Sends bytes of a streamed response as a single chunk.
  void Write(std::string_view aBytes);
  /// Ends a streamed response with the terminating chunk.
  void FinishStream();
  /// Closes the connection without completing the response, so the client detects the truncation.
  void Abort();
  /// Returns the number of bytes passed to Write(), including chunk framing, that are not yet
  /// written to the client's socket.
  [[nodiscard]] std::size_t PendingBytes() const;
  /// Returns whether the client has ended its side of the connection, or the connection is broken,
  /// as far as the kernel knows: that may wait behind bytes that have not been read, or behind
  /// other work of this process. A client that only ends its sending counts as well, since its
  /// bytes are the same as those of one that closes.
  [[nodiscard]] bool HasCallerLeft() const;
  /// Returns true while the connection is not read from, so that OnLeave()'s callback does not run
  /// when the client disconnects; HasCallerLeft() tells it then.
  [[nodiscard]] bool MayMissLeaving() const;
  /// Sets a callback that runs once when the client disconnects before the response has ended. It
  /// runs immediately if the client has already disconnected.
  void OnLeave(std::function<void()> aCallback);
  /// Sets a callback that runs each time PendingBytes() drops to zero.
  void OnDrain(std::function<void()> aCallback);

private:
  std::shared_ptr<implementation> mImplementation;
};

} // namespace persimmon::entry
