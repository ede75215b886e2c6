#pragma once

#include "base/responseheadreader.h"
#include "upstream/callhandlers.h"
#include "upstream/callid.h"
#include "upstream/upstreamcall.h"

#include <curl/curl.h>
#include <memory>

namespace persimmon::upstream {

/// Deleter of libcurl easy handles.
struct curl_handle_closer
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

/// Deleter of libcurl string lists.
struct curl_list_closer
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

/// A call in progress with its libcurl handle. libcurl's callbacks hold a pointer to the object, so
/// it must not move.
class active_call
{
public:
  active_call(call_id aId, upstream_call aCall, call_handlers aHandlers);

  [[nodiscard]] call_id Id() const { return mId; }
  [[nodiscard]] CURL* Handle() const { return mHandle.get(); }
  /// Stops calling the handlers and makes libcurl abort the transfer at the next body data.
  void SuppressHandlers() { mHandlersSuppressed = true; }
  /// While paused, the body callback returns CURL_WRITEFUNC_PAUSE and libcurl buffers the data.
  void SetPaused(bool aPaused) { mPaused = aPaused; }
  /// Runs onDone with the call's outcome, unless the handlers are suppressed.
  void Finish(CURLcode aCode);

private:
  static std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static int OnSocket(void*, curl_socket_t aSocket, curlsocktype);
  static int OnSend(void* aSelf, char*, char*, int, int);
  void SetOptions();
  void SetTunnelOptions();
  void BuildHeaders();
  [[nodiscard]] call_outcome MakeOutcome(CURLcode aCode) const;
  [[nodiscard]] std::string DescribeFailure(CURLcode aCode, bool aHeadEndsEarly) const;

  call_id mId;
  upstream_call mCall;
  call_handlers mHandlers;
  std::string mUrl;
  std::unique_ptr<curl_slist, curl_list_closer> mHeaders;
  /// Headers of the request for a tunnel.
  std::unique_ptr<curl_slist, curl_list_closer> mTunnelHeaders;
  std::unique_ptr<CURL, curl_handle_closer> mHandle;
  /// The relay's response to the request for a tunnel.
  response_head_reader mTunnelHead;
  response_head_reader mHead;
  std::size_t mBodyBytes = 0;
  bool mBodyTooLarge = false;
  bool mHandlersSuppressed = false;
  bool mPaused = false;
  /// True once libcurl has been allowed to send the request.
  bool mRequestStarted = false;
};

} // namespace persimmon::upstream
