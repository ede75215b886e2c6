#pragma once

#include "entry/responder.h"

#include <mutex>
#include <restinio/all.hpp>

namespace persimmon::entry {

/// State of one answer, shared by the responder, RESTinio's write callbacks and the listener that
/// learns of closed connections.
class responder::implementation : public std::enable_shared_from_this<responder::implementation>
{
public:
  explicit implementation(restinio::request_handle_t aRequest);

  void Send(server_response aResponse);
  void StartStream(int aStatus, const std::vector<server_header>& aHeaders, stream_end aEnd);
  void Write(std::string_view aBytes);
  void FinishStream();
  void Abort();
  [[nodiscard]] std::size_t PendingBytes() const;
  void OnLeave(std::function<void()> aCallback);
  void OnDrain(std::function<void()> aCallback);
  /// Called by the server when the connection has closed.
  void ConnectionClosed();

private:
  using write_callback = restinio::write_status_cb_t;

  /// Marks the answer as ended; returns false when it had ended before.
  bool End();
  [[nodiscard]] bool HasEnded() const;
  void WriteDone(std::size_t aBytes, bool aFailed);
  /// What a part means for the connection.
  enum class part
  {
    more,
    /// The last one of a connection that is kept.
    last,
    /// The connection closes after it.
    closing
  };

  /// Hands a part of a streamed response to the connection.
  void SendPart(std::string aBytes, part aPart, write_callback aCallback = {});

  /// Held while RESTinio is called, which may call WriteDone() and ConnectionClosed() from within;
  /// these two take only mMutex.
  std::mutex mWriteMutex;
  restinio::request_handle_t mRequest;
  bool mStreaming = false;
  /// The connection is kept after a clean end of the stream.
  bool mKeeps = false;

  mutable std::mutex mMutex;
  std::size_t mPending = 0;
  bool mEnded = false;
  bool mLeft = false;
  std::function<void()> mOnLeave;
  std::function<void()> mOnDrain;
};

} // namespace persimmon::entry
