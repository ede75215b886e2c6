#pragma once

#include "app/router/clusterboard.h"
#include "app/router/lostupstream.h"
#include "base/clock.h"

#include <set>
#include <vector>

namespace persimmon::router {

/// Finds groups that lost a member, or whose head has been silent for long, so that requests on
/// them need not wait for their deadlines. Each is told of once for as long as it stays so.
class lost_upstreams
{
public:
  /// Returns the upstreams that were lost since the last call.
  std::vector<lost_upstream> Update(const cluster_board& aBoard, time_point aNow);

private:
  std::set<lost_upstream> mTold;
};

/// Tells whether requests on an upstream cannot be expected to finish.
bool
IsLost(const routing::candidate& aCandidate, time_point aNow);

} // namespace persimmon::router
