#pragma once

#include "base/clock.h"
#include "routing/ineligibility.h"
#include "routing/upstream.h"

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace persimmon::router {

class cluster_board;

/// Writes a log line whenever an upstream begins or ceases to be eligible for requests, and when an
/// instance is marked as leaving. For one thread.
class eligibility_log
{
public:
  /// Compares what the board says now with what was written before.
  void Update(const cluster_board& aBoard, time_point aNow);

private:
  void Tell(const routing::upstream& aUpstream, routing::ineligibility aWhyNot);

  std::unordered_map<upstream_id, routing::ineligibility> mTold;
  std::unordered_set<std::string> mLeaving;
};

} // namespace persimmon::router
