#pragma once

#include "relay/internal/connectrequest.h"
#include "relay/relayoptions.h"
#include "relay/relayverdict.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmon::relay {

/// What a tunnel asks and tells its server.
struct tunnel_handlers
{
  std::function<relay_verdict(const endpoint&)> onRequest;
  std::function<void(const endpoint&)> onConnected;
  /// Returns the address at which an upstream is reached.
  std::function<endpoint(const endpoint&)> translate;
};

/// A connection of a peer and, once its CONNECT request is accepted, the one to the upstream.
class tunnel : public std::enable_shared_from_this<tunnel>
{
public:
  tunnel(asio::ip::tcp::socket aPeer, const relay_options& aOptions, tunnel_handlers aHandlers);
  /// Resets both connections: those of a destroyed socket would end in order.
  ~tunnel() { Reset("dropped"); }
  tunnel(const tunnel&) = delete;
  tunnel& operator=(const tunnel&) = delete;

  /// Reads the request and serves the tunnel; keeps itself alive until it ends.
  void Start();
  /// Resets both connections.
  void Reset(const char* aCause);

private:
  static constexpr std::size_t kBufferBytes = 8192;
  using buffer = std::array<char, kBufferBytes>;

  void ReadRequest();
  void Connect();
  void OnUpstreamConnected(const asio::error_code& aError);
  /// Answers the request; a refused one ends the connection.
  void Respond(int aStatus);
  void PassRequests();
  void PassResponses();
  void EndResponses();
  void Close(const char* aCause);
  void StartTimer(duration aTime, const char* aCause);

  asio::ip::tcp::socket mPeer;
  asio::ip::tcp::socket mUpstream;
  asio::steady_timer mTimer;
  const relay_options& mOptions;
  tunnel_handlers mHandlers;
  connect_request mRequest;
  std::string mResponse;
  buffer mToUpstream{};
  buffer mToPeer{};
  std::uint64_t mRequestBytes = 0;
  std::uint64_t mResponseBytes = 0;
  bool mIsOpen = false;
  bool mHasEnded = false;
};

} // namespace persimmon::relay
