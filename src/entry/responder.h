#pragma once

#include "entry/serverresponse.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace persimmon::entry {

/// What becomes of the connection when a stream has ended cleanly.
enum class stream_end
{
  closes,
  keeps
};

/// Answers one request, either whole by Send() or as a stream of chunks. Every function may be
/// called from any thread; after the answer has ended, or the caller has left, they do nothing.
class responder
{
public:
  class implementation;

  explicit responder(std::shared_ptr<implementation> aImplementation);
  ~responder();
  responder(const responder&) = delete;
  responder& operator=(const responder&) = delete;

  /// Sends a whole response.
  void Send(server_response aResponse);
  /// Sends the status and headers of a streamed response. A connection that is kept serves the
  /// caller's next request after the stream has ended cleanly.
  void StartStream(int aStatus,
                   const std::vector<server_header>& aHeaders,
                   stream_end aEnd = stream_end::closes);
  /// Sends bytes of a streamed response as one chunk.
  void Write(std::string_view aBytes);
  /// Ends a streamed response cleanly.
  void FinishStream();
  /// Closes the connection at once, so that the caller sees the answer as cut off.
  void Abort();
  /// Bytes that were written and have not yet been taken by the caller's connection.
  [[nodiscard]] std::size_t PendingBytes() const;
  /// Sets what to call, once, when the caller leaves before the answer has ended. It is called at
  /// once if the caller has left already.
  void OnLeave(std::function<void()> aCallback);
  /// Sets what to call when PendingBytes() has fallen to zero.
  void OnDrain(std::function<void()> aCallback);

private:
  std::shared_ptr<implementation> mImplementation;
};

} // namespace persimmon::entry
