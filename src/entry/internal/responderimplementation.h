#pragma once

#include "entry/internal/callerconnection.h"
#include "entry/responder.h"

#include <mutex>
#include <restinio/all.hpp>

namespace persimmon::entry {

/// State of a response, shared by the responder, RESTinio's write callbacks and the connection
/// state listener.
class responder::implementation : public std::enable_shared_from_this<responder::implementation>
{
public:
  implementation(restinio::request_handle_t aRequest,
                 std::shared_ptr<caller_connection> aConnection);
  ~implementation();
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  void Send(server_response aResponse);
  void StartStream(int aStatus, const std::vector<server_header>& aHeaders, stream_end aEnd);
  void Write(std::string_view aBytes);
  void FinishStream();
  void Abort();
  [[nodiscard]] std::size_t PendingBytes() const;
  [[nodiscard]] bool HasCallerLeft() const;
  [[nodiscard]] bool MayMissLeaving() const;
  void OnLeave(std::function<void()> aCallback);
  void OnDrain(std::function<void()> aCallback);
  /// Called when the connection has closed or a write has failed.
  void ConnectionClosed();

private:
  using write_callback = restinio::write_status_cb_t;

  /// Marks the response as ended. Returns false when it had already ended.
  bool MarkEnded();
  [[nodiscard]] bool HasEnded() const;
  /// Called by RESTinio after a chunk of aBytes bytes was written or failed to be written.
  void OnWriteDone(std::size_t aBytes, bool aFailed);
  /// Position of a part within a streamed response.
  enum class part
  {
    /// More parts follow.
    more,
    /// Last part; the connection stays open if keep-alive was agreed.
    last,
    /// Last part; the connection closes after it.
    closing
  };

  /// Queues a part of a streamed response for writing. aCallback runs after the write.
  void SendPart(std::string aBytes, part aPart, write_callback aCallback = {});

  /// Held during calls into RESTinio, which may call OnWriteDone() and ConnectionClosed() before it
  /// returns; therefore these two functions lock only mMutex.
  std::mutex mWriteMutex;
  restinio::request_handle_t mRequest;
  std::shared_ptr<caller_connection> mConnection;
  bool mStreaming = false;
  /// True when the connection stays open after FinishStream().
  bool mKeepAlive = false;

  /// Guards the members below.
  mutable std::mutex mMutex;
  std::size_t mPending = 0;
  bool mEnded = false;
  bool mDisconnected = false;
  std::function<void()> mOnLeave;
  std::function<void()> mOnDrain;
};

} // namespace persimmon::entry
