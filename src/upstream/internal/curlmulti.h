#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <functional>
#include <memory>
#include <unordered_map>

namespace persimmon::upstream {

/// Drives a libcurl multi handle from an asio event loop. Must be used on the loop's thread only.
class curl_multi
{
public:
  /// aOnDone is called for each completed transfer and may add and remove handles.
  curl_multi(asio::io_context& aContext, std::function<void(CURL*, CURLcode)> aOnDone);
  ~curl_multi();
  curl_multi(const curl_multi&) = delete;
  curl_multi& operator=(const curl_multi&) = delete;

  void Add(CURL* aHandle);
  void Remove(CURL* aHandle);
  /// Continues a transfer whose write callback returned CURL_WRITEFUNC_PAUSE.
  void Resume(CURL* aHandle);

private:
  /// A socket of libcurl with its asio descriptor.
  struct watched_socket
  {
    asio::posix::stream_descriptor descriptor;
    /// CURL_POLL_ flags of the events that libcurl waits for; 0 after Unwatch().
    int wantedEvents = 0;
    bool isReadWaitPending = false;
    bool isWriteWaitPending = false;
  };

  static int OnSocket(CURL* aHandle, curl_socket_t aSocket, int aWhat, void* aSelf, void*);
  static int OnTimer(CURLM* aMulti, long aDelayMs, void* aSelf);
  void Watch(curl_socket_t aSocket, int aWantedEvents);
  void Unwatch(curl_socket_t aSocket);
  /// Starts asynchronous waits for the wanted events that have none pending.
  void StartWaiting(curl_socket_t aSocket, const std::shared_ptr<watched_socket>& aWatched);
  void OnReady(curl_socket_t aSocket, const std::shared_ptr<watched_socket>& aWatched, int aEvent);
  /// Restarts libcurl's timeout; a negative delay disables it.
  void SetTimer(long aDelayMs);
  /// Runs libcurl for a socket event, then reports completed transfers.
  void RunSocketAction(curl_socket_t aSocket, int aEvent);
  void ReportCompleted();

  asio::io_context& mContext;
  asio::steady_timer mTimer;
  std::function<void(CURL*, CURLcode)> mOnDone;
  CURLM* mMulti;
  std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> mSockets;
};

} // namespace persimmon::upstream
