#pragma once

#include "base/ids.h"
#include "gateway/gatewaysettings.h"
#include "gateway/storereaders.h"
#include "loop/eventloop.h"
#include "metrics/metrics.h"
#include "paths/relaypeers.h"
#include "peers/messages.h"
#include "peers/storeposition.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// Connection of this gateway to the mesh: publishes messages to the other gateways and passes on
/// theirs. The handler runs on the event loop's thread.
class mesh_link
{
public:
  using handler = std::function<void(const peers::mesh_message&, const router_id& aFrom)>;

  mesh_link(const gateway_settings& aSettings, loop::event_loop& aLoop, metrics_registry& aMetrics);
  /// Stops the mesh node.
  ~mesh_link();

  void SetHandler(handler aHandler);
  /// Sets what is called once, when no peer knows more than what the handler of messages has
  /// received, or none can be waited for any longer; without a mesh, when Start() is called.
  void SetStartHandler(std::function<void()> aHandler);
  /// Sets what receives the positions in the store up to which the peers have told every change.
  void SetPositionHandler(std::function<void(const peers::store_position&)> aHandler);
  /// Starts the mesh node. Returns false with LastReason() when it cannot listen. Without a mesh
  /// address there is no node and the call succeeds.
  bool Start();
  void Stop();
  /// Sends a message to the other gateways; does nothing without a mesh.
  void Publish(const peers::mesh_message& aMessage);
  /// Sets the addresses of the gateways to connect to.
  void SetSeeds(std::vector<endpoint> aAddresses);
  /// Sets whether the watch of the store delivers changes, and whether a list was read since the
  /// start of this process.
  void SetStoreState(bool aUpToDate, bool aHasList);
  /// Sets whether the store has never come back from an older copy; to be called once it is known.
  void SetStoreAge(bool aNeverRestored);
  /// Tells the peers that this process has read the store up to a position; with aIsPublished, its
  /// changes were published.
  void SetStorePosition(const peers::store_position& aPosition, bool aIsPublished);
  /// Returns the live gateways, including this one, as candidates for reading the store.
  [[nodiscard]] std::vector<reader_candidate> ReaderCandidates() const;
  /// Returns the live gateways, including this one.
  [[nodiscard]] std::vector<router_id> LiveGateways() const;
  /// Returns the other live gateways that pass bytes on to upstreams.
  [[nodiscard]] std::vector<paths::relay_peer> RelayPeers() const;
  /// Returns the time since each linked peer last sent a frame; empty without a mesh.
  [[nodiscard]] std::vector<duration> PeerFrameAges() const;
  /// Reason for which Start() failed.
  [[nodiscard]] const std::string& LastReason() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::gateway
