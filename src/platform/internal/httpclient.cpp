#include "platform/httpclient.h"

#include "base/headerlookup.h"
#include "base/responseheadreader.h"

#include <atomic>
#include <curl/curl.h>

namespace persimmon::platform {
namespace {

/// Most connections that are kept for later requests.
constexpr long kMaxKeptConnections = 5;
/// Longest wait between two checks for a cancellation.
constexpr int kLongestPollMs = 1000;

struct curl_handle_deleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

struct curl_slist_deleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

struct curl_multi_deleter
{
  void operator()(CURLM* aMulti) const { curl_multi_cleanup(aMulti); }
};

using header_list = std::unique_ptr<curl_slist, curl_slist_deleter>;

/// A response that is being received.
struct incoming_response
{
  http_response response;
  response_head_reader head;
  std::size_t maxBodyBytes = 0;
};

/// libcurl write callback; returns 0, which fails the call, when the body is too large.
std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  auto& incoming = *static_cast<incoming_response*>(aTarget);
  std::string& body = incoming.response.body;
  const std::size_t bytes = aSize * aCount;
  if (!incoming.head.IsComplete() || body.size() + bytes > incoming.maxBodyBytes) {
    return 0;
  }
  body.append(aData, bytes);
  return bytes;
}

/// libcurl header callback; returns 0, which fails the call, when the response must not be used.
std::size_t
ReadHeadLine(char* aData, std::size_t aSize, std::size_t aCount, void* aTarget)
{
  auto& incoming = *static_cast<incoming_response*>(aTarget);
  return incoming.head.Add({ aData, aSize * aCount }) ? aSize * aCount : 0;
}

header_list
BuildHeaders(const http_request& aRequest)
{
  curl_slist* list = nullptr;
  for (const http_header& header : aRequest.headers) {
    list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
  }
  // Suppresses the `Expect: 100-continue` that libcurl adds to large bodies.
  list = curl_slist_append(list, "Expect:");
  return header_list(list);
}

/// libcurl progress callback; a value other than 0 aborts the call.
int
CheckCancelled(void* aCancelled, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  return static_cast<const std::atomic<bool>*>(aCancelled)->load() ? 1 : 0;
}

CURLM*
MakeMulti()
{
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kInitialized);
  CURLM* multi = curl_multi_init();
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxKeptConnections);
  return multi;
}

/// Carries out a call over the connections that aMulti keeps, and waits for its end.
CURLcode
Perform(CURLM* aMulti, CURL* aHandle)
{
  curl_multi_add_handle(aMulti, aHandle);
  int running = 1;
  while (curl_multi_perform(aMulti, &running) == CURLM_OK && running > 0) {
    curl_multi_poll(aMulti, nullptr, 0, kLongestPollMs, nullptr);
  }
  int left = 0;
  const CURLMsg* ended = curl_multi_info_read(aMulti, &left);
  const CURLcode code = ended != nullptr ? ended->data.result : CURLE_FAILED_INIT;
  curl_multi_remove_handle(aMulti, aHandle);
  return code;
}

/// A failure counts as not sent only if libcurl did not send a single byte of the request.
http_failure
ClassifyFailure(CURL* aHandle, CURLcode aCode)
{
  if (aCode == CURLE_COULDNT_CONNECT || aCode == CURLE_COULDNT_RESOLVE_HOST ||
      aCode == CURLE_URL_MALFORMAT) {
    return http_failure::not_sent;
  }
  long sent = 0;
  curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0 ? http_failure::maybe_sent : http_failure::not_sent;
}

std::string
DescribeFailure(const response_head_reader& aHead, CURLcode aCode)
{
  if (!aHead.Fault().empty()) {
    return aHead.Fault();
  }
  return aCode == CURLE_OK ? "connection ended within the response head"
                           : curl_easy_strerror(aCode);
}

} // namespace

std::string
http_response::Header(const std::string& aName) const
{
  return FindHeader(headers, aName);
}

struct http_client::implementation
{
  std::atomic<bool> cancelled = false;
  std::unique_ptr<CURLM, curl_multi_deleter> multi{ MakeMulti() };
  http_failure failure = http_failure::none;
  std::string failureText;
};

http_client::http_client()
  : mImplementation(std::make_unique<implementation>())
{
}

http_client::~http_client() = default;
http_client::http_client(http_client&&) noexcept = default;
http_client&
http_client::operator=(http_client&&) noexcept = default;

std::optional<http_response>
http_client::Send(const http_request& aRequest)
{
  // A handle of its own: one that has read a head before reads freed memory when the next head
  // begins with a blank (libcurl 7.88).
  const std::unique_ptr<CURL, curl_handle_deleter> owner(curl_easy_init());
  CURL* handle = owner.get();
  incoming_response incoming;
  incoming.maxBodyBytes = aRequest.maxBodyBytes;
  const header_list headers = BuildHeaders(aRequest);
  curl_easy_setopt(handle, CURLOPT_URL, aRequest.url.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, aRequest.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.timeout.ms));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &incoming);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, ReadHeadLine);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &incoming);
  curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, CheckCancelled);
  curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &mImplementation->cancelled);
  if (aRequest.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  } else if (!aRequest.body.empty() || aRequest.method == "POST" || aRequest.method == "PUT") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, aRequest.body.data());
    curl_easy_setopt(
      handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(aRequest.body.size()));
  }
  if (aRequest.freshConnection) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  const CURLcode code = Perform(mImplementation->multi.get(), handle);
  // libcurl reports success when a connection ends within the headers.
  if (code != CURLE_OK || !incoming.head.IsComplete()) {
    mImplementation->failure = ClassifyFailure(handle, code);
    mImplementation->failureText = DescribeFailure(incoming.head, code);
    return std::nullopt;
  }
  incoming.response.status = incoming.head.Status();
  incoming.response.headers = std::move(incoming.head.Headers());
  mImplementation->failure = http_failure::none;
  return std::move(incoming.response);
}

void
http_client::Cancel()
{
  mImplementation->cancelled = true;
}

http_failure
http_client::LastFailure() const
{
  return mImplementation->failure;
}

const std::string&
http_client::LastFailureText() const
{
  return mImplementation->failureText;
}

} // namespace persimmon::platform
