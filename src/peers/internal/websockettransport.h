#pragma once

// This header is read by C++17 and by C++20 units: websocketpp compiles as C++17 only.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmon::peers {

/// What a transport is told once.
struct transport_settings
{
  /// Name that this process gives in the handshake.
  std::string self;
  /// Shared key; both sides prove by HMAC-SHA-256 over nonces that they know it.
  std::string key;
  std::size_t maxFrameBytes = 0;
  /// Time for connecting and proving, in milliseconds.
  long handshakeTimeoutMs = 2000;
};

/// Called on the transport's thread.
struct transport_callbacks
{
  /// Both sides have proved that they know the key.
  std::function<void(std::uint64_t aLink, bool aOutgoing, const std::string& aPeer)> opened;
  std::function<void(std::uint64_t aLink, const std::string& aBytes)> received;
  /// An open link has ended or an attempt has failed.
  std::function<void(std::uint64_t aLink)> closed;
  /// The other side did not prove that it knows the key.
  std::function<void(const std::string& aAddress, const std::string& aDetail)> refused;
};

/// Links over websocketpp with one thread of its own. Links that are dialled have odd numbers,
/// given by the caller; accepted ones have even numbers.
class websocket_transport
{
public:
  websocket_transport(transport_settings aSettings, transport_callbacks aCallbacks);
  /// Stops.
  ~websocket_transport();
  websocket_transport(const websocket_transport&) = delete;
  websocket_transport& operator=(const websocket_transport&) = delete;

  /// Listens on an address; port 0 takes a free one. Returns the port, or 0 with aProblem set.
  std::uint16_t Listen(const std::string& aIp, std::uint16_t aPort, std::string& aProblem);
  /// Calls aTick on the thread every aIntervalMs from now on.
  void Start(long aIntervalMs, std::function<void()> aTick);
  /// Runs a function on the thread.
  void Post(std::function<void()> aFunction);
  /// Closes all links and ends the thread.
  void Stop();

  // On the transport's thread only:
  void Connect(std::uint64_t aLink, const std::string& aAddress);
  void Send(std::uint64_t aLink, const std::string& aBytes);
  void Close(std::uint64_t aLink);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::peers
