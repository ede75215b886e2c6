#pragma once

#include "metrics/metrics.h"
#include "peers/meshcore.h"
#include "peers/meshoptions.h"
#include "peers/messages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::peers {

/// Settings of a process in the mesh.
struct mesh_node_settings
{
  /// Id of the router, or of the placer for a leaf.
  router_id self;
  zone_name zone;
  /// Address to listen on; port 0 takes a free one. Empty for a leaf.
  endpoint listen;
  /// Addresses of other routers; for a leaf, of the local router alone.
  std::vector<endpoint> seeds;
  /// Shared key of all routers and placers.
  std::string key;
  bool leaf = false;
  /// Time that the store's watch has to deliver a version that a peer announced before the version
  /// is requested from a peer.
  duration pullDelay = mesh_options{}.pullDelay;
  /// Address at which this process passes bytes on to upstreams; empty when it does not.
  endpoint relay{};
  /// Part of a processor that this process may use, in percent; 0 when it is not known.
  std::uint32_t processorPercent = 0;
  /// See mesh_options.
  std::string revisionedPrefix{};
  std::int64_t bytesPerSecond = mesh_options{}.bytesPerSecond;
};

/// Connects a process to the mesh: runs a mesh_core on its own thread over websocketpp. All
/// functions are thread-safe. Handlers are called on the mesh thread and must not block.
class mesh_node
{
public:
  /// Receives a message that is newer than the stored one; aFrom is the peer that forwarded it.
  using message_handler = std::function<void(const mesh_message& aMessage, const router_id& aFrom)>;
  /// Receives the new entry of a router whose state has changed.
  using member_handler = std::function<void(const member& aMember)>;
  /// Is called once, at the end of the start (see mesh_core::IsStarting()), after the messages that
  /// the peers have told until then.
  using start_handler = std::function<void()>;
  /// Receives a position up to which the peers have told this process every change of the store;
  /// the messages with these changes have been received before.
  using position_handler = std::function<void(const store_position& aPosition)>;

  explicit mesh_node(mesh_node_settings aSettings, metrics_registry* aMetrics = nullptr);
  /// Calls Stop().
  ~mesh_node();

  /// Sets the handler of messages; must be called before Start().
  void SetMessageHandler(message_handler aHandler);
  /// Sets the handler of membership changes; must be called before Start().
  void SetMemberHandler(member_handler aHandler);
  /// Sets the handler of the end of the start; must be called before Start().
  void SetStartHandler(start_handler aHandler);
  /// Sets the handler of positions in the store; must be called before Start().
  void SetPositionHandler(position_handler aHandler);
  /// Starts the node. Returns the listening address, an empty address for a leaf, or nothing on
  /// failure; LastReason() then has the cause.
  std::optional<endpoint> Start();
  /// Announces to the peers that this process leaves, closes all links and stops the mesh thread.
  void Stop();

  /// Publishes a message of this process to the mesh. Applied messages must contain this router's
  /// id.
  void Publish(const mesh_message& aMessage);
  /// Sets the addresses of the entry instances that the platform lists.
  void SetSeeds(std::vector<endpoint> aAddresses);
  /// Sets whether the watch of the store currently delivers changes and whether a full list was
  /// read since this process started.
  void SetStoreState(bool aWatchUpToDate, bool aHasList);
  /// Sets whether the store has never come back from an older copy; to be called once it is known.
  void SetStoreAge(bool aNeverRestored);

  /// Tells that this process has read the store up to a position; with aIsPublished, it has
  /// published every change up to it that no peer had told before.
  void SetStorePosition(const store_position& aPosition, bool aIsPublished);

  [[nodiscard]] mesh_status Status() const;
  /// Routers that count as live, including this router; for a leaf, all live routers.
  [[nodiscard]] std::vector<router_id> LiveRouters() const;
  /// Returns which live routers apply at least this version of a document or table.
  [[nodiscard]] rollout_status RolloutOf(applied_message::object_kind aKind,
                                         const std::string& aName,
                                         revision aVersion) const;
  /// Returns whether the stored documents and tables were read from the platform or matched those
  /// of a caught-up peer.
  [[nodiscard]] bool CaughtUp() const;
  /// Why Start() failed.
  [[nodiscard]] const std::string& LastReason() const;

  /// For fault injection in tests: drops all frames from and to these routers and refuses new
  /// links, without closing existing links.
  void BlockPeers(const std::vector<router_id>& aPeers);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::peers
