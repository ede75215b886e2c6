#include "entry/internal/responderimplementation.h"

#include <array>
#include <charconv>
#include <fmt/format.h>

namespace persimmon::entry {
namespace {

restinio::http_status_line_t
StatusLine(int aStatus)
{
  static const std::map<int, const char*> kPhrases = {
    { 200, "OK" },
    { 201, "Created" },
    { 204, "No Content" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 409, "Conflict" },
    { 410, "Gone" },
    { 412, "Precondition Failed" },
    { 413, "Content Too Large" },
    { 421, "Misdirected Request" },
    { 422, "Unprocessable Content" },
    { 428, "Precondition Required" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 500, "Internal Server Error" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };
  const auto found = kPhrases.find(aStatus);
  const char* phrase = found == kPhrases.end() ? "Status" : found->second;
  return { restinio::http_status_code_t(static_cast<std::uint16_t>(aStatus)), phrase };
}

constexpr std::string_view kLineEnd = "\r\n";
constexpr int kChunkSizeBase = 16;
/// Hexadecimal digits of the largest 64-bit size.
constexpr std::size_t kMaxChunkSizeDigits = 16;

/// Encodes bytes as a chunk of chunked transfer coding.
std::string
EncodeChunk(std::string_view aBytes)
{
  std::array<char, kMaxChunkSizeDigits> head{};
  const auto written =
    std::to_chars(head.data(), head.data() + head.size(), aBytes.size(), kChunkSizeBase);
  std::string chunk;
  chunk.reserve(head.size() + aBytes.size() + 2 * kLineEnd.size());
  chunk.append(head.data(), written.ptr);
  chunk += kLineEnd;
  chunk += aBytes;
  chunk += kLineEnd;
  return chunk;
}

constexpr const char* kLastChunk = "0\r\n\r\n";

/// Renders the status line and headers of a chunked response. A truncated stream differs from a
/// finished one only by the connection that closes before the last chunk.
std::string
RenderHead(int aStatus, const std::vector<server_header>& aHeaders, bool aKeepAlive)
{
  const auto line = StatusLine(aStatus);
  std::string head =
    fmt::format("HTTP/1.1 {} {}\r\n", line.status_code().raw_code(), line.reason_phrase());
  for (const server_header& header : aHeaders) {
    head += header.name + ": " + header.value + "\r\n";
  }
  head += "Transfer-Encoding: chunked\r\n";
  return head + (aKeepAlive ? "\r\n" : "Connection: close\r\n\r\n");
}

} // namespace

responder::implementation::implementation(restinio::request_handle_t aRequest,
                                          std::shared_ptr<caller_connection> aConnection)
  : mRequest(std::move(aRequest))
  , mConnection(std::move(aConnection))
{
  mConnection->OnRequest();
}

responder::implementation::~implementation()
{
  mConnection->OnResponseEnded(steady_clock().Now());
}

bool
responder::implementation::MarkEnded()
{
  const std::lock_guard lock(mMutex);
  const bool first = !mEnded;
  mEnded = true;
  return first;
}

bool
responder::implementation::HasEnded() const
{
  const std::lock_guard lock(mMutex);
  return mEnded;
}

void
responder::implementation::Send(server_response aResponse)
{
  const std::lock_guard writing(mWriteMutex);
  if (mStreaming || !MarkEnded()) {
    return;
  }
  auto response = mRequest->create_response(StatusLine(aResponse.status));
  for (server_header& header : aResponse.headers) {
    response.append_header(std::move(header.name), std::move(header.value));
  }
  response.set_body(std::move(aResponse.body));
  if (aResponse.closes) {
    response.connection_close();
  }
  mConnection->OnPartQueued();
  response.done([connection = mConnection](const asio::error_code&) {
    connection->OnPartWritten(steady_clock().Now());
  });
}

void
responder::implementation::StartStream(int aStatus,
                                       const std::vector<server_header>& aHeaders,
                                       stream_end aEnd)
{
  const std::lock_guard writing(mWriteMutex);
  if (mStreaming || HasEnded()) {
    return;
  }
  mStreaming = true;
  mKeepAlive = aEnd == stream_end::keeps && mRequest->header().should_keep_alive();
  SendPart(RenderHead(aStatus, aHeaders, mKeepAlive), part::more);
}

void
responder::implementation::SendPart(std::string aBytes, part aPart, write_callback aCallback)
{
  // Writes to the connection directly, because RESTinio's builder for user-controlled output adds a
  // Content-Length header.
  const auto connection = restinio::impl::access_req_connection(*mRequest);
  if (!connection) {
    return;
  }
  const restinio::response_output_flags_t flags{
    aPart == part::more ? restinio::response_parts_attr_t::not_final_parts
                        : restinio::response_parts_attr_t::final_parts,
    mKeepAlive && aPart != part::closing
      ? restinio::response_connection_attr_t::connection_keepalive
      : restinio::response_connection_attr_t::connection_close
  };
  restinio::writable_items_container_t items;
  const bool hasBytes = !aBytes.empty();
  if (hasBytes) {
    items.emplace_back(std::move(aBytes));
  }
  restinio::write_group_t group(std::move(items));
  if (hasBytes) {
    mConnection->OnPartQueued();
    group.after_write_notificator(
      [connection = mConnection, callback = std::move(aCallback)](const asio::error_code& aError) {
        connection->OnPartWritten(steady_clock().Now());
        if (callback) {
          callback(aError);
        }
      });
  }
  connection->write_response_parts(mRequest->request_id(), flags, std::move(group));
}

void
responder::implementation::Write(std::string_view aBytes)
{
  const std::lock_guard writing(mWriteMutex);
  if (!mStreaming || aBytes.empty() || HasEnded()) {
    return;
  }
  std::string chunk = EncodeChunk(aBytes);
  const std::size_t size = chunk.size();
  {
    const std::lock_guard lock(mMutex);
    mPending += size;
  }
  SendPart(
    std::move(chunk), part::more, [weak = weak_from_this(), size](const asio::error_code& aError) {
      if (const auto self = weak.lock()) {
        self->OnWriteDone(size, static_cast<bool>(aError));
      }
    });
}

void
responder::implementation::OnWriteDone(std::size_t aBytes, bool aFailed)
{
  std::function<void()> drained;
  {
    const std::lock_guard lock(mMutex);
    mPending -= std::min(aBytes, mPending);
    if (mPending == 0 && !mEnded) {
      drained = mOnDrain;
    }
  }
  if (aFailed) {
    ConnectionClosed();
  } else if (drained) {
    drained();
  }
}

void
responder::implementation::FinishStream()
{
  const std::lock_guard writing(mWriteMutex);
  if (mStreaming && MarkEnded()) {
    SendPart(kLastChunk, part::last);
  }
}

void
responder::implementation::Abort()
{
  const std::lock_guard writing(mWriteMutex);
  if (MarkEnded()) {
    // The closing part closes the connection after all previously queued bytes are written.
    SendPart({}, part::closing);
  }
}

std::size_t
responder::implementation::PendingBytes() const
{
  const std::lock_guard lock(mMutex);
  return mPending;
}

bool
responder::implementation::HasCallerLeft() const
{
  {
    const std::lock_guard lock(mMutex);
    if (mDisconnected) {
      return true;
    }
  }
  return mConnection->HasEnded();
}

bool
responder::implementation::MayMissLeaving() const
{
  return !mConnection->IsReading();
}

void
responder::implementation::OnLeave(std::function<void()> aCallback)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mDisconnected) {
      mOnLeave = std::move(aCallback);
      return;
    }
  }
  aCallback();
}

void
responder::implementation::OnDrain(std::function<void()> aCallback)
{
  const std::lock_guard lock(mMutex);
  mOnDrain = std::move(aCallback);
}

void
responder::implementation::ConnectionClosed()
{
  std::function<void()> callback;
  {
    const std::lock_guard lock(mMutex);
    if (mEnded || mDisconnected) {
      return;
    }
    mDisconnected = true;
    mEnded = true;
    callback = std::move(mOnLeave);
    mOnLeave = nullptr;
    mOnDrain = nullptr;
  }
  if (callback) {
    callback();
  }
}

responder::responder(std::shared_ptr<implementation> aImplementation)
  : mImplementation(std::move(aImplementation))
{
}

responder::~responder()
{
  mImplementation->Abort();
}

void
responder::Send(server_response aResponse)
{
  mImplementation->Send(std::move(aResponse));
}

void
responder::StartStream(int aStatus, const std::vector<server_header>& aHeaders, stream_end aEnd)
{
  mImplementation->StartStream(aStatus, aHeaders, aEnd);
}

void
responder::Write(std::string_view aBytes)
{
  mImplementation->Write(aBytes);
}

void
responder::FinishStream()
{
  mImplementation->FinishStream();
}

void
responder::Abort()
{
  mImplementation->Abort();
}

std::size_t
responder::PendingBytes() const
{
  return mImplementation->PendingBytes();
}

bool
responder::HasCallerLeft() const
{
  return mImplementation->HasCallerLeft();
}

bool
responder::MayMissLeaving() const
{
  return mImplementation->MayMissLeaving();
}

void
responder::OnLeave(std::function<void()> aCallback)
{
  mImplementation->OnLeave(std::move(aCallback));
}

void
responder::OnDrain(std::function<void()> aCallback)
{
  mImplementation->OnDrain(std::move(aCallback));
}

} // namespace persimmon::entry
