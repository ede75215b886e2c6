#pragma once

#include "dispatch/upstreamselector.h"
#include "gateway/attempt.h"
#include "metrics/metrics.h"
#include "peers/messages.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace persimmon::gateway {

/// Acts on what upstreams state of themselves in their responses: a limit, a pause, that they are
/// leaving, their load. Tells the other gateways and logs what changes. For use on the event loop's
/// thread only.
class statement_monitor
{
public:
  statement_monitor(dispatch::upstream_selector& aUpstreams, metrics_registry& aMetrics)
    : mUpstreams(aUpstreams)
    , mMetrics(aMetrics)
  {
  }

  /// Called with statements that the other gateways need.
  std::function<void(const peers::mesh_message&)> onStatement;
  /// Called when an upstream counts as draining since it says that it is leaving.
  std::function<void()> onLeaving;

  /// Handles the response head of an attempt.
  void OnResponse(const attempt& aAttempt);
  /// Handles the response head of an engine to an order or to a request for its report.
  void OnEngineResponse(const instance_id& aEngine,
                        int aStatus,
                        const dispatch::upstream_statements& aStatements);
  /// Applies a statement that another gateway has received.
  void Apply(const peers::leaving_message& aMessage);
  void Apply(const peers::rate_limit_message& aMessage);
  /// Updates shares, metrics and what has ended; call about once a second with the live gateways.
  void OnSlowTick(const std::vector<router_id>& aLiveGateways);

private:
  /// Where a statement comes from, for logs and metrics.
  enum class source
  {
    response,
    peer
  };

  void Record(const dispatch::statement_observation& aObservation);
  void ReportLeaving(const peers::leaving_message& aMessage, source aFrom);
  void ReportPause(const dispatch::statement_observation& aObservation, duration aKept);
  void LogLimit(const peers::rate_limit_message& aMessage, source aFrom) const;
  /// Logs statements that cannot be read, each text once.
  void LogUnreadable(const dispatch::statement_observation& aObservation);

  dispatch::upstream_selector& mUpstreams;
  metrics_registry& mMetrics;
  /// Unreadable statements that were logged.
  std::set<std::string> mLogged;
};

} // namespace persimmon::gateway
