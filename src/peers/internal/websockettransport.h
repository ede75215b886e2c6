#pragma once

// Included by C++17 and C++20 translation units because websocketpp compiles only as C++17.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmon::peers {

/// Settings of a transport.
struct transport_settings
{
  /// Name of this process in the handshake.
  std::string self;
  /// Shared key; both sides prove knowledge of it by an HMAC-SHA-256 over nonces.
  std::string key;
  std::size_t maxFrameBytes = 0;
  /// Timeout for connection and authentication, in milliseconds.
  long handshakeTimeoutMs = 2000;
};

/// Callbacks, called on the transport's thread.
struct transport_callbacks
{
  /// Both sides have proved knowledge of the key.
  std::function<void(std::uint64_t aLink, bool aOutgoing, const std::string& aPeer)> opened;
  /// A frame was received over an open link.
  std::function<void(std::uint64_t aLink, const std::string& aBytes)> received;
  /// An open link was closed by the peer or a failure, or an outgoing connection has failed.
  std::function<void(std::uint64_t aLink)> closed;
  /// The remote process did not prove knowledge of the key.
  std::function<void(const std::string& aAddress, const std::string& aDetail)> refused;
};

/// Websocket links with their own thread. Outgoing links have odd numbers, assigned by the caller;
/// accepted links have even numbers.
class websocket_transport
{
public:
  websocket_transport(transport_settings aSettings, transport_callbacks aCallbacks);
  /// Calls Stop().
  ~websocket_transport();
  websocket_transport(const websocket_transport&) = delete;
  websocket_transport& operator=(const websocket_transport&) = delete;

  /// Listens on an address; port 0 selects a free port. Returns the port, or 0 with the error in
  /// aError.
  std::uint16_t Listen(const std::string& aIp, std::uint16_t aPort, std::string& aError);
  /// Starts the thread and calls aTick on it every aIntervalMs.
  void Start(long aIntervalMs, std::function<void()> aTick);
  /// Runs a function on the transport's thread.
  void Post(std::function<void()> aFunction);
  /// Stops the thread. Links are not closed individually.
  void Stop();

  // The functions below must be called on the transport's thread.
  /// Opens a link; opened or closed is called with the result.
  void Connect(std::uint64_t aLink, const std::string& aAddress);
  /// Sends a frame; closes the link if too many bytes wait for the peer.
  void Send(std::uint64_t aLink, const std::string& aBytes);
  /// Closes a link without a call of closed.
  void Close(std::uint64_t aLink);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::peers
