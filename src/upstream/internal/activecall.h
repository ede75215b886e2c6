#pragma once

#include "upstream/callhandlers.h"
#include "upstream/callid.h"
#include "upstream/upstreamcall.h"

#include <curl/curl.h>
#include <memory>

namespace persimmon::upstream {

struct curl_handle_closer
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

struct curl_list_closer
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

/// A call with its libcurl handle; libcurl's callbacks point at it, so that it never moves.
class active_call
{
public:
  active_call(call_id aId, upstream_call aCall, call_handlers aHandlers);

  [[nodiscard]] call_id Id() const { return mId; }
  [[nodiscard]] CURL* Handle() const { return mHandle.get(); }
  /// Calls no handler from now on and makes libcurl give the call up.
  void Silence() { mSilenced = true; }
  /// While paused, libcurl keeps what comes to itself.
  void SetPaused(bool aPaused) { mPaused = aPaused; }
  /// Tells the owner how the call ended.
  void Finish(CURLcode aCode);

private:
  static std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static int OnSocket(void*, curl_socket_t aSocket, curlsocktype);
  static int OnSend(void* aSelf, char*, char*, int, int);
  void SetOptions();
  void BuildHeaders();
  void ReadHeaderLine(std::string_view aLine);
  [[nodiscard]] call_outcome OutcomeOf(CURLcode aCode) const;

  call_id mId;
  upstream_call mCall;
  call_handlers mHandlers;
  std::string mUrl;
  std::unique_ptr<curl_slist, curl_list_closer> mHeaders;
  std::unique_ptr<CURL, curl_handle_closer> mHandle;
  response_head mHead;
  bool mSilenced = false;
  bool mPaused = false;
  bool mSent = false;
};

} // namespace persimmon::upstream
