#pragma once

#include "app/router/routersettings.h"

#include <memory>
#include <string>

namespace persimmon::router {

/// A running router: everything from the listener for callers to the connections to upstreams.
class router_process
{
public:
  explicit router_process(router_settings aSettings);
  ~router_process();

  /// Starts to serve; false with LastReason() when that failed.
  bool Start();
  /// Stops gracefully: not ready first, then no new requests, then requests in flight finish
  /// within the drain time; what is left then is refused or cut off.
  void Stop();
  /// Address that callers are served at.
  [[nodiscard]] const endpoint& Address() const;
  [[nodiscard]] const std::string& LastReason() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::router
