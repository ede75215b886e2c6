#pragma once

#include "base/ids.h"
#include "loop/eventloop.h"
#include "relay/relayoptions.h"
#include "relay/relayverdict.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmon::relay {

/// Passes bytes between peers that are cut off from upstreams and these upstreams. A peer opens a
/// tunnel by a CONNECT request and speaks with the upstream as over a connection of its own. A
/// tunnel never leads through a second relay. An end of the upstream's bytes is passed on as such;
/// any other end, also that of this process, resets the peer's connection, so that no response
/// looks complete that is not. All functions but the constructor and Stop() are for the event
/// loop's thread.
class relay_server
{
public:
  relay_server(loop::event_loop& aLoop, relay_options aOptions);
  ~relay_server();
  relay_server(const relay_server&) = delete;
  relay_server& operator=(const relay_server&) = delete;

  /// Decides on the request for a tunnel to an address; to be set before Start().
  std::function<relay_verdict(const endpoint&)> onRequest;
  /// Called with an upstream that has accepted a connection for a peer.
  std::function<void(const endpoint&)> onConnected;
  /// Returns the address at which an upstream is reached; empty when it is the registered one.
  std::function<endpoint(const endpoint&)> addressTranslation;

  /// Starts to listen. Returns the bound address, or nothing with LastReason().
  std::optional<endpoint> Start();
  [[nodiscard]] const std::string& LastReason() const;
  /// Number of open tunnels.
  [[nodiscard]] std::size_t TunnelCount() const;
  /// Stops listening and resets all tunnels.
  void Stop();

private:
  struct implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace persimmon::relay
