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

/// Settings of a process's part in the mesh.
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
  /// How long a version that a peer announces may take to come from the store first.
  duration pullGrace = mesh_options{}.pullGrace;
};

/// Links a process to the mesh: a mesh_core on a thread of its own, over websocketpp. Every
/// function may be called from any thread; handlers are called on the mesh's thread and must not
/// block.
class mesh_node
{
public:
  /// Takes a message that is news to this process; aFrom is the peer that passed it on.
  using message_handler = std::function<void(const mesh_message& aMessage, const router_id& aFrom)>;
  using member_handler = std::function<void(const member& aMember)>;

  explicit mesh_node(mesh_node_settings aSettings, metrics_registry* aMetrics = nullptr);
  /// Stops.
  ~mesh_node();

  /// Sets what takes messages; call before Start().
  void SetHandler(message_handler aHandler);
  /// Sets what hears of routers that come and go; call before Start().
  void SetMemberHandler(member_handler aHandler);
  /// Starts; returns the address in use, empty for a leaf, or nothing with LastReason() telling
  /// why.
  std::optional<endpoint> Start();
  /// Tells the peers that this process leaves, and ends.
  void Stop();

  /// Spreads a message of this process. Applied messages carry this router's id.
  void Publish(const mesh_message& aMessage);
  /// Tells the addresses of the entry instances that the platform lists.
  void SetSeeds(std::vector<endpoint> aAddresses);
  /// Tells how the platform does: whether the watch brings changes at present, and whether a full
  /// list was read once in this life.
  void SetStoreState(bool aFresh, bool aListed);

  [[nodiscard]] mesh_status Status() const;
  /// Routers that count as live, this one included; for a leaf, all routers.
  [[nodiscard]] std::vector<router_id> Live() const;
  /// Tells which live routers apply a version of a document or table.
  [[nodiscard]] force_status InForce(applied_message::subject aWhat,
                                     const std::string& aName,
                                     revision aVersion) const;
  /// True when this process holds the documents of the platform or of a peer that has them so.
  [[nodiscard]] bool CaughtUp() const;
  [[nodiscard]] const std::string& LastReason() const;

  /// For tests: drops all that comes from or goes to these routers, without closing their links.
  void BlockPeers(const std::vector<router_id>& aPeers);

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::peers
