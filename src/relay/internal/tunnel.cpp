#include "relay/internal/tunnel.h"

#include "loop/peerend.h"
#include "relay/relayevents.h"
#include "relay/relaystatus.h"

#include <asio/write.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace persimmon::relay {
namespace {

using asio::ip::tcp;

/// Time for a peer to send its request.
constexpr duration kRequestTimeout = 1_s;
/// Time for a peer to close its side after the end of the upstream's bytes.
constexpr duration kCloseTimeout = 10_s;
/// Time in ms after which TCP closes a connection with unacknowledged data. It also ends the
/// keep-alive probes, whatever their count.
constexpr int kTcpUserTimeoutMs = 3000;
constexpr int kKeepAliveIntervalSeconds = 1;

using tcp_user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using tcp_keep_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using tcp_keep_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;

void
SetOptions(tcp::socket& aSocket)
{
  asio::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(tcp_user_timeout(kTcpUserTimeoutMs), ignored);
  aSocket.set_option(tcp_keep_idle(kKeepAliveIntervalSeconds), ignored);
  aSocket.set_option(tcp_keep_interval(kKeepAliveIntervalSeconds), ignored);
}

/// Lets the end of a socket, also by the end of this process, reset its connection.
void
ResetOnClose(tcp::socket& aSocket)
{
  asio::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
}

/// Parses `ip:port`; returns an endpoint with port 0 when it is none.
tcp::endpoint
ParseAddress(const endpoint& aAddress)
{
  const std::size_t colon = aAddress.value.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  std::uint16_t port = 0;
  const char* end = aAddress.value.data() + aAddress.value.size();
  const auto parsed = std::from_chars(aAddress.value.data() + colon + 1, end, port);
  asio::error_code error;
  const auto host = asio::ip::make_address(aAddress.value.substr(0, colon), error);
  const bool isValid = !error && parsed.ec == std::errc{} && parsed.ptr == end;
  return isValid ? tcp::endpoint(host, port) : tcp::endpoint();
}

int
StatusOf(relay_verdict aVerdict)
{
  switch (aVerdict) {
    case relay_verdict::accepted:
      return kTunnelOpen;
    case relay_verdict::unavailable:
      return kRelayUnavailable;
    case relay_verdict::no_path:
      return kNoPath;
  }
  return kRelayUnavailable;
}

} // namespace

tunnel::tunnel(tcp::socket aPeer, const relay_options& aOptions, tunnel_handlers aHandlers)
  : mPeer(std::move(aPeer))
  , mUpstream(mPeer.get_executor())
  , mTimer(mPeer.get_executor())
  , mOptions(aOptions)
  , mHandlers(std::move(aHandlers))
{
}

void
tunnel::Start()
{
  SetOptions(mPeer);
  ResetOnClose(mPeer);
  StartTimer(kRequestTimeout, "no_request");
  ReadRequest();
}

void
tunnel::StartTimer(duration aTime, const char* aCause)
{
  mTimer.expires_after(std::chrono::milliseconds(aTime.ms));
  mTimer.async_wait([self = shared_from_this(), aCause](const asio::error_code& aError) {
    if (!aError) {
      self->Reset(aCause);
    }
  });
}

void
tunnel::ReadRequest()
{
  mPeer.async_read_some(
    asio::buffer(mToUpstream),
    [self = shared_from_this()](const asio::error_code& aError, std::size_t aLength) {
      if (aError) {
        self->Close("peer_left");
        return;
      }
      switch (self->mRequest.Feed({ self->mToUpstream.data(), aLength })) {
        case request_state::incomplete:
          self->ReadRequest();
          return;
        case request_state::invalid:
          self->Respond(kInvalidRequest);
          return;
        case request_state::complete:
          self->Connect();
          return;
      }
    });
}

void
tunnel::Connect()
{
  mTimer.cancel();
  if (loop::HasPeerEnded(mPeer.native_handle())) {
    Close("peer_left");
    return;
  }
  if (mRequest.Credentials() != mOptions.credentials) {
    Respond(kWrongKey);
    return;
  }
  const relay_verdict verdict = mHandlers.onRequest(mRequest.Upstream());
  const tcp::endpoint address = ParseAddress(mHandlers.translate(mRequest.Upstream()));
  if (verdict != relay_verdict::accepted || address.port() == 0) {
    Respond(verdict == relay_verdict::accepted ? kInvalidRequest : StatusOf(verdict));
    return;
  }
  asio::error_code error;
  mUpstream.open(address.protocol(), error);
  if (error) {
    // No descriptor is left.
    Respond(kRelayUnavailable);
    return;
  }
  SetOptions(mUpstream);
  mTimer.expires_after(std::chrono::milliseconds(mOptions.connectTimeout.ms));
  mTimer.async_wait([self = shared_from_this()](const asio::error_code& aError) {
    if (!aError) {
      asio::error_code ignored;
      self->mUpstream.cancel(ignored);
    }
  });
  mUpstream.async_connect(address, [self = shared_from_this()](const asio::error_code& aError) {
    self->OnUpstreamConnected(aError);
  });
}

void
tunnel::OnUpstreamConnected(const asio::error_code& aError)
{
  mTimer.cancel();
  if (mHasEnded) {
    return;
  }
  if (aError == asio::error::connection_refused || aError == asio::error::connection_reset) {
    Respond(kUpstreamRefused);
  } else if (aError) {
    Respond(kUpstreamSilent);
  } else {
    mIsOpen = true;
    mHandlers.onConnected(mRequest.Upstream());
    Respond(kTunnelOpen);
  }
}

void
tunnel::Respond(int aStatus)
{
  mTimer.cancel();
  if (aStatus != kTunnelOpen) {
    WriteLog(kTunnelRefused,
             { { "upstream", mRequest.Upstream().value }, { "status", std::to_string(aStatus) } });
  }
  mResponse = "HTTP/1.1 " + std::to_string(aStatus) +
              (aStatus == kTunnelOpen ? " Open\r\n\r\n" : " Refused\r\nContent-Length: 0\r\n\r\n");
  asio::async_write(mPeer,
                    asio::buffer(mResponse),
                    [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
                      if (aError) {
                        self->Close("peer_left");
                      } else if (self->mIsOpen) {
                        self->PassRequests();
                        self->PassResponses();
                      } else {
                        self->EndResponses();
                        self->PassRequests();
                      }
                    });
}

void
tunnel::PassRequests()
{
  mPeer.async_read_some(
    asio::buffer(mToUpstream),
    [self = shared_from_this()](const asio::error_code& aError, std::size_t aLength) {
      // A peer that has what it wants, or gives up, closes its connection; the upstream is to
      // notice at once, and gets nothing that was read too late.
      if (aError || !self->mIsOpen || loop::HasPeerEnded(self->mPeer.native_handle())) {
        self->Close("peer_closed");
        return;
      }
      self->mRequestBytes += aLength;
      asio::async_write(self->mUpstream,
                        asio::buffer(self->mToUpstream.data(), aLength),
                        [self](const asio::error_code& aWriteError, std::size_t) {
                          if (aWriteError) {
                            // Not at once: the upstream may have answered before it closed.
                            return;
                          }
                          self->PassRequests();
                        });
    });
}

void
tunnel::PassResponses()
{
  mUpstream.async_read_some(
    asio::buffer(mToPeer),
    [self = shared_from_this()](const asio::error_code& aError, std::size_t aLength) {
      if (aError == asio::error::eof) {
        self->EndResponses();
        return;
      }
      if (aError) {
        self->Reset("upstream_reset");
        return;
      }
      self->mResponseBytes += aLength;
      asio::async_write(self->mPeer,
                        asio::buffer(self->mToPeer.data(), aLength),
                        [self](const asio::error_code& aWriteError, std::size_t) {
                          if (aWriteError) {
                            self->Close("peer_closed");
                            return;
                          }
                          self->PassResponses();
                        });
    });
}

void
tunnel::EndResponses()
{
  asio::error_code ignored;
  mPeer.shutdown(tcp::socket::shutdown_send, ignored);
  StartTimer(kCloseTimeout, "peer_stays");
}

void
tunnel::Reset(const char* aCause)
{
  ResetOnClose(mUpstream);
  Close(aCause);
}

void
tunnel::Close(const char* aCause)
{
  if (mHasEnded) {
    return;
  }
  mHasEnded = true;
  mTimer.cancel();
  asio::error_code ignored;
  mPeer.close(ignored);
  mUpstream.close(ignored);
  if (mIsOpen) {
    WriteLog(kTunnelEnded,
             { { "upstream", mRequest.Upstream().value },
               { "cause", aCause },
               { "request_bytes", std::to_string(mRequestBytes) },
               { "response_bytes", std::to_string(mResponseBytes) } });
  }
}

} // namespace persimmon::relay
