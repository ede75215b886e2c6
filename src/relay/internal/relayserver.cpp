#include "relay/relayserver.h"

#include "loop/internal/eventloopimplementation.h"
#include "relay/internal/tunnel.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <list>

namespace persimmon::relay {

using asio::ip::tcp;

namespace {

/// Time from a connection that could not be accepted to the next try.
constexpr duration kAcceptPause = 50_ms;

} // namespace

struct relay_server::implementation : public std::enable_shared_from_this<implementation>
{
  loop::event_loop& loop;
  relay_options options;
  tcp::acceptor acceptor{ loop.Implementation().context };
  asio::steady_timer acceptTimer{ loop.Implementation().context };
  tunnel_handlers handlers;
  std::list<std::weak_ptr<tunnel>> tunnels;
  std::string reason;

  implementation(loop::event_loop& aLoop, relay_options aOptions)
    : loop(aLoop)
    , options(std::move(aOptions))
  {
  }

  void RemoveEnded()
  {
    std::erase_if(tunnels, [](const auto& aTunnel) { return aTunnel.expired(); });
  }

  std::size_t Count()
  {
    RemoveEnded();
    return tunnels.size();
  }

  void Accept()
  {
    acceptor.async_accept(
      [self = shared_from_this()](const asio::error_code& aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted || !self->acceptor.is_open()) {
          return;
        }
        if (aError) {
          self->AcceptLater();
          return;
        }
        self->Serve(std::move(aSocket));
        self->Accept();
      });
  }

  /// Accepts again after a pause: without a free descriptor, the waiting connection would be
  /// reported as ready again at once, for as long as none is free.
  void AcceptLater()
  {
    acceptTimer.expires_after(std::chrono::milliseconds(kAcceptPause.ms));
    acceptTimer.async_wait([self = shared_from_this()](const asio::error_code& aError) {
      if (!aError && self->acceptor.is_open()) {
        self->Accept();
      }
    });
  }

  void Serve(tcp::socket aSocket)
  {
    tunnel_handlers limited = handlers;
    if (Count() >= options.maxTunnels) {
      limited.onRequest = [](const endpoint&) { return relay_verdict::unavailable; };
    }
    const auto added = std::make_shared<tunnel>(std::move(aSocket), options, std::move(limited));
    tunnels.push_back(added);
    added->Start();
  }
};

relay_server::relay_server(loop::event_loop& aLoop, relay_options aOptions)
  : mImplementation(std::make_shared<implementation>(aLoop, std::move(aOptions)))
{
}

relay_server::~relay_server() = default;

std::optional<endpoint>
relay_server::Start()
{
  implementation& self = *mImplementation;
  self.handlers = { onRequest,
                    onConnected ? onConnected : [](const endpoint&) {},
                    addressTranslation ? addressTranslation
                                       : [](const endpoint& aAddress) { return aAddress; } };
  const std::string& listen = self.options.listen.value;
  const std::size_t colon = std::min(listen.rfind(':'), listen.size());
  std::uint16_t port = 0;
  if (colon < listen.size()) {
    std::from_chars(listen.data() + colon + 1, listen.data() + listen.size(), port);
  }
  asio::error_code error;
  const auto host = asio::ip::make_address(listen.substr(0, colon), error);
  const tcp::endpoint address(host, port);
  const auto step = [&error](const auto& aStep) {
    if (!error) {
      aStep();
    }
  };
  step([&] { self.acceptor.open(address.protocol(), error); });
  step([&] { self.acceptor.set_option(tcp::acceptor::reuse_address(true), error); });
  step([&] { self.acceptor.bind(address, error); });
  step([&] { self.acceptor.listen(asio::socket_base::max_listen_connections, error); });
  if (error) {
    self.reason = listen + ": " + error.message();
    return std::nullopt;
  }
  self.Accept();
  return endpoint{ host.to_string() + ":" + std::to_string(self.acceptor.local_endpoint().port()) };
}

const std::string&
relay_server::LastReason() const
{
  return mImplementation->reason;
}

std::size_t
relay_server::TunnelCount() const
{
  return mImplementation->Count();
}

void
relay_server::Stop()
{
  asio::error_code ignored;
  mImplementation->acceptor.close(ignored);
  mImplementation->acceptTimer.cancel();
  for (const auto& each : mImplementation->tunnels) {
    if (const auto open = each.lock()) {
      open->Reset("stopping");
    }
  }
}

} // namespace persimmon::relay
