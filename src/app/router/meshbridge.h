#pragma once

#include "app/router/clusterboard.h"
#include "app/router/routersettings.h"
#include "app/router/suspectboard.h"
#include "metrics/metrics.h"
#include "peers/messages.h"
#include "placement/domaintable.h"

#include <memory>
#include <string>
#include <vector>

namespace persimmon::router {

/// Links the router's boards to the peer mesh: what this router learns goes out, what others learn
/// comes in. Without a mesh address it does nothing. Every function may be called from any thread.
class mesh_bridge
{
public:
  mesh_bridge(const router_settings& aSettings, cluster_board& aBoard, metrics_registry& aMetrics);
  ~mesh_bridge();

  /// Starts; false with LastReason() when the address cannot be used. Suspects of other routers go
  /// to aSuspects, which outlives the mesh.
  bool Start(suspect_board& aSuspects);
  /// Tells the peers that this router leaves.
  void Stop();
  void Publish(const peers::mesh_message& aMessage);
  /// Spreads an object that came from the platform, and that it is applied here.
  void PublishObject(const peers::mesh_message& aMessage, bool aNews);
  /// Spreads the leaving marks that are new.
  void PublishLeaving();
  /// Spreads the customers' shares; call about once a second.
  void PublishShares();
  void SetStoreState(bool aFresh, bool aListed);
  /// True when this router is one of a group's observers.
  [[nodiscard]] bool Observes(const placement::group& aGroup) const;
  /// True when a peer has given all documents and tables.
  [[nodiscard]] bool CaughtUp() const;
  [[nodiscard]] std::vector<router_id> Live() const;
  /// For tests: drops all that comes from or goes to these routers.
  void BlockPeers(const std::vector<router_id>& aPeers);
  [[nodiscard]] const std::string& LastReason() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::router
