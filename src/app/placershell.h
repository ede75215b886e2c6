#pragma once

#include "metrics/metrics.h"
#include "placement/placercore.h"

#include <memory>
#include <string>

namespace persimmon::app {

struct placer_shell_options
{
  placement::placer_options core;
  /// `http://ip:port` of the platform.
  std::string storeUrl;
  zone_name zone;
  /// Mesh address of the local router; empty for none. Drains then wait a fixed time for routers.
  endpoint router;
  std::string meshKey;
  /// Address of the HTTP listener for /ready, /metrics and /status; empty for none.
  endpoint adminListen;
};

/// Carries the decisions of a placer_core out: one thread decides, a few threads call the
/// platform and the engines.
class placer_shell
{
public:
  placer_shell(placer_shell_options aOptions, metrics_registry& aMetrics);
  /// Stops.
  ~placer_shell();

  /// Starts all threads. Returns false, with a log line, when the listener cannot be opened.
  bool Start();
  /// Gives the lease up and ends all threads.
  void Stop();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::app
