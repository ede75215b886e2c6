#pragma once

#include "base/ids.h"
#include "metrics/metrics.h"

#include <set>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// Counts headers of responses that this process does not know, and logs the first one of each
/// name: an upstream may state something there that should have an effect.
class unknown_header_log
{
public:
  explicit unknown_header_log(metrics_registry& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  /// Records the unknown headers of one response.
  void Record(const std::vector<std::string>& aNames, const instance_id& aUpstream);

private:
  metrics_registry& mMetrics;
  /// Names in lower case that were logged.
  std::set<std::string> mLogged;
};

} // namespace persimmon::gateway
