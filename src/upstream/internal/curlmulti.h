#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <functional>
#include <memory>
#include <unordered_map>

namespace persimmon::upstream {

/// libcurl's multi handle driven from an asio loop. For use on the loop's thread only.
class curl_multi
{
public:
  /// aOnDone is called for each handle that has ended, and may add and remove handles.
  curl_multi(asio::io_context& aContext, std::function<void(CURL*, CURLcode)> aOnDone);
  ~curl_multi();
  curl_multi(const curl_multi&) = delete;
  curl_multi& operator=(const curl_multi&) = delete;

  void Add(CURL* aHandle);
  void Remove(CURL* aHandle);
  /// Lets a handle go on whose write callback asked for a pause.
  void Resume(CURL* aHandle);

private:
  struct watched_socket
  {
    asio::posix::stream_descriptor descriptor;
    int wanted = 0;
    bool waitsToRead = false;
    bool waitsToWrite = false;
  };

  static int OnSocket(CURL* aHandle, curl_socket_t aSocket, int aWhat, void* aSelf, void*);
  static int OnTimer(CURLM* aMulti, long aDelayMs, void* aSelf);
  void Watch(curl_socket_t aSocket, int aWanted);
  void Forget(curl_socket_t aSocket);
  void Arm(curl_socket_t aSocket, const std::shared_ptr<watched_socket>& aWatched);
  void Ready(curl_socket_t aSocket, const std::shared_ptr<watched_socket>& aWatched, int aEvent);
  void SetTimer(long aDelayMs);
  void Act(curl_socket_t aSocket, int aEvent);
  void CollectEnded();

  asio::io_context& mContext;
  asio::steady_timer mTimer;
  std::function<void(CURL*, CURLcode)> mOnDone;
  CURLM* mMulti;
  std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> mSockets;
};

} // namespace persimmon::upstream
