#pragma once

#include "app/router/clusterboard.h"
#include "routing/upstream.h"
#include "upstream/upstreamloop.h"

#include <functional>

namespace persimmon::router {

/// Finds out, after a connection to an upstream broke, whether the upstream died: a closed port, a
/// new life or a missing member say so, silence does not. Every function may be called from any
/// thread.
class death_prober
{
public:
  explicit death_prober(cluster_board& aBoard);

  /// aDone is called exactly once, on the prober's thread.
  void Probe(const routing::upstream& aUpstream, std::function<void(bool aDied)> aDone);

private:
  [[nodiscard]] bool ShowsDeath(const routing::upstream& aUpstream,
                                const std::string& aState) const;

  cluster_board& mBoard;
  upstream::upstream_loop mLoop;
};

} // namespace persimmon::router
