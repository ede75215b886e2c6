#include "upstream/internal/activecall.h"

#include "base/headerlookup.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>

namespace persimmon::upstream {
namespace {

constexpr long kReadBufferBytes = 8192;
/// Time in ms after which TCP closes a connection with unacknowledged data.
constexpr unsigned int kTcpUserTimeoutMs = 3000;
/// Idle time before the first TCP keep-alive probe, and interval between probes.
constexpr int kKeepAliveIntervalSeconds = 1;

} // namespace

active_call::active_call(call_id aId, upstream_call aCall, call_handlers aHandlers)
  : mId(aId)
  , mCall(std::move(aCall))
  , mHandlers(std::move(aHandlers))
  , mUrl("http://" + mCall.address.value + "/")
  , mHandle(curl_easy_init())
{
  BuildHeaders();
  SetOptions();
}

void
active_call::BuildHeaders()
{
  curl_slist* list = nullptr;
  for (const upstream_header& header : mCall.headers) {
    // libcurl removes a header that is given as `Name:`; `Name;` sends it with an empty value.
    const bool empty = header.value.empty();
    list = curl_slist_append(list, (header.name + (empty ? ";" : ": " + header.value)).c_str());
  }
  list = curl_slist_append(list, "Expect:");
  // Suppresses the headers that libcurl would add by itself.
  for (const char* name : { "Accept", "Content-Type" }) {
    if (FindHeader(mCall.headers, name).empty()) {
      list = curl_slist_append(list, (std::string(name) + ":").c_str());
    }
  }
  mHeaders.reset(list);
}

void
active_call::SetOptions()
{
  CURL* handle = mHandle.get();
  curl_easy_setopt(handle, CURLOPT_URL, mUrl.c_str());
  curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, mCall.target.c_str());
  curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &active_call::OnSocket);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, mCall.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, mHeaders.get());
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "");
  curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kReadBufferBytes);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(mCall.connectTimeout.ms));
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(mCall.timeout.ms));
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &active_call::OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &active_call::OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &active_call::OnSend);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
  if (mCall.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  } else if (!mCall.body.Empty() || mCall.method == "POST" || mCall.method == "PUT") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, mCall.body.Data());
    curl_easy_setopt(
      handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(mCall.body.Size()));
  }
  if (mCall.connectOnly) {
    curl_easy_setopt(handle, CURLOPT_CONNECT_ONLY, 1L);
  }
  if (mCall.freshConnection) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  if (mCall.tunnel) {
    SetTunnelOptions();
  }
}

void
active_call::SetTunnelOptions()
{
  CURL* handle = mHandle.get();
  curl_slist* list = nullptr;
  list = curl_slist_append(list, ("Proxy-Authorization: " + mCall.tunnel->credentials).c_str());
  list = curl_slist_append(list, "Proxy-Connection:");
  mTunnelHeaders.reset(list);
  curl_easy_setopt(handle, CURLOPT_PROXY, ("http://" + mCall.tunnel->relay.value).c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPPROXYTUNNEL, 1L);
  // The request's own headers are for the upstream alone.
  curl_easy_setopt(handle, CURLOPT_HEADEROPT, static_cast<long>(CURLHEADER_SEPARATE));
  curl_easy_setopt(handle, CURLOPT_PROXYHEADER, mTunnelHeaders.get());
}

int
active_call::OnSocket(void*, curl_socket_t aSocket, curlsocktype)
{
  // A peer that lost power sends no reset; without these options a connection to it would stay open
  // for hours.
  const unsigned int userTimeoutMs = kTcpUserTimeoutMs;
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
  setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(aSocket,
             IPPROTO_TCP,
             TCP_KEEPIDLE,
             &kKeepAliveIntervalSeconds,
             sizeof kKeepAliveIntervalSeconds);
  setsockopt(aSocket,
             IPPROTO_TCP,
             TCP_KEEPINTVL,
             &kKeepAliveIntervalSeconds,
             sizeof kKeepAliveIntervalSeconds);
  return CURL_SOCKOPT_OK;
}

int
active_call::OnSend(void* aSelf, char*, char*, int, int)
{
  auto& self = *static_cast<active_call*>(aSelf);
  // libcurl resends a request when a reused connection breaks before the response. The upstream
  // could reject the second attempt as not executed although the first attempt was executed, so
  // the resend is aborted.
  if ((self.mRequestStarted && !self.mCall.isRepeatable) || self.mHandlersSuppressed) {
    return CURL_PREREQFUNC_ABORT;
  }
  // A kept connection proves nothing: it may have been silent for long.
  long newConnections = 0;
  curl_easy_getinfo(self.mHandle.get(), CURLINFO_NUM_CONNECTS, &newConnections);
  if (newConnections > 0 && self.mHandlers.onConnected) {
    self.mHandlers.onConnected();
  }
  if (self.mHandlers.mayBeSent && !self.mHandlers.mayBeSent()) {
    return CURL_PREREQFUNC_ABORT;
  }
  self.mRequestStarted = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t
active_call::OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<active_call*>(aSelf);
  const std::string_view line(aData, aSize * aCount);
  // What comes before the request is sent is the relay's.
  if (self.mCall.tunnel && !self.mRequestStarted) {
    return self.mTunnelHead.Add(line) ? line.size() : 0;
  }
  const bool wasComplete = self.mHead.IsComplete();
  if (!self.mHead.Add(line)) {
    return 0;
  }
  if (self.mHead.IsComplete() && !wasComplete && !self.mHandlersSuppressed) {
    self.mHandlers.onHead({ self.mHead.Status(), std::move(self.mHead.Headers()) });
  }
  return line.size();
}

std::size_t
active_call::OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<active_call*>(aSelf);
  if (self.mHandlersSuppressed || !self.mHead.IsComplete()) {
    return 0;
  }
  if (self.mPaused) {
    return CURL_WRITEFUNC_PAUSE;
  }
  self.mBodyBytes += aSize * aCount;
  if (self.mCall.maxBodyBytes > 0 && self.mBodyBytes > self.mCall.maxBodyBytes) {
    self.mBodyTooLarge = true;
    return 0;
  }
  self.mHandlers.onData({ aData, aSize * aCount });
  return aSize * aCount;
}

std::string
active_call::DescribeFailure(CURLcode aCode, bool aHeadEndsEarly) const
{
  for (const response_head_reader* head : { &mTunnelHead, &mHead }) {
    if (!head->Fault().empty()) {
      return head->Fault();
    }
  }
  return aHeadEndsEarly ? "connection ended within the response head" : curl_easy_strerror(aCode);
}

call_outcome
active_call::MakeOutcome(CURLcode aCode) const
{
  // libcurl reports success when a connection ends within the headers.
  const bool headEndsEarly = aCode == CURLE_OK && !mCall.connectOnly && !mHead.IsComplete();
  if (aCode == CURLE_OK && !headEndsEarly) {
    return {};
  }
  // CURLINFO_REQUEST_SIZE counts the bytes of all attempts, including a resend over a second
  // connection, and the request for a tunnel.
  long sent = 0;
  curl_easy_getinfo(mHandle.get(), CURLINFO_REQUEST_SIZE, &sent);
  long error = 0;
  curl_easy_getinfo(mHandle.get(), CURLINFO_OS_ERRNO, &error);
  return { mRequestStarted && sent > 0 ? call_end::maybe_sent : call_end::not_sent,
           error == ECONNREFUSED,
           mTunnelHead.IsComplete() ? mTunnelHead.Status() : 0,
           mBodyTooLarge,
           DescribeFailure(aCode, headEndsEarly) };
}

void
active_call::Finish(CURLcode aCode)
{
  if (!mHandlersSuppressed) {
    mHandlersSuppressed = true;
    mHandlers.onDone(MakeOutcome(aCode));
  }
}

} // namespace persimmon::upstream
