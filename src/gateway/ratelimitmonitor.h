#pragma once

#include "dispatch/upstreamselector.h"
#include "gateway/attempt.h"
#include "metrics/metrics.h"
#include "peers/messages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// Learns the rate limits that upstreams state from their responses and from other gateways, tells
/// the other gateways, and logs what changes. For use on the event loop's thread only.
class rate_limit_monitor
{
public:
  rate_limit_monitor(dispatch::upstream_rate_limits& aLimits, metrics_registry& aMetrics)
    : mLimits(aLimits)
    , mMetrics(aMetrics)
  {
  }

  /// Called with statements that the other gateways need.
  std::function<void(const peers::rate_limit_message&)> onChange;

  /// Handles the response head of an attempt.
  void OnResponse(const attempt& aAttempt);
  /// Applies a statement of another gateway.
  void Apply(const peers::rate_limit_message& aMessage);
  /// Updates shares and metrics; call about once a second with the live gateways.
  void OnSlowTick(const std::vector<router_id>& aLiveGateways);

private:
  /// Logs a limit that cannot be read, unless it was the last one that was logged.
  void LogUnreadable(const attempt& aAttempt);
  void LogChange(const peers::rate_limit_message& aMessage, const char* aSource) const;

  dispatch::upstream_rate_limits& mLimits;
  metrics_registry& mMetrics;
  /// Latest limit that could not be read and was logged.
  std::optional<std::string> mLastUnreadable;
};

} // namespace persimmon::gateway
