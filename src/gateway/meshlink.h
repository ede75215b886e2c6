#pragma once

#include "base/ids.h"
#include "gateway/gatewaysettings.h"
#include "loop/eventloop.h"
#include "metrics/metrics.h"
#include "peers/messages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// This gateway's part in the mesh: what it tells the others, and what they tell it. Messages are
/// handed over on the loop's thread.
class mesh_link
{
public:
  using handler = std::function<void(const peers::mesh_message&, const router_id& aFrom)>;

  mesh_link(const gateway_settings& aSettings, loop::event_loop& aLoop, metrics_registry& aMetrics);
  /// Stops.
  ~mesh_link();

  void SetHandler(handler aHandler);
  /// False with LastReason() when it could not listen. Without an address there is no mesh.
  bool Start();
  void Stop();
  void Publish(const peers::mesh_message& aMessage);
  /// Names further gateways to link to.
  void SetSeeds(std::vector<endpoint> aAddresses);
  /// Tells whether the store's watches bring changes, and whether a list was read in this life.
  void SetStoreState(bool aFresh, bool aListed);
  /// Live gateways, this one included.
  [[nodiscard]] std::size_t LiveCount() const;
  [[nodiscard]] const std::string& LastReason() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::gateway
