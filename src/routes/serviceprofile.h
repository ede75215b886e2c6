#pragma once

#include "base/ids.h"
#include "base/requestrate.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::routes {

/// A service that routes send calls to, and the properties of its upstreams.
struct service_profile
{
  service_name name;
  std::string healthPath;
  /// Connections that one upstream accepts in total, from all clients.
  std::uint64_t maxConnections = 0;
  /// Calls that an upstream takes from all callers together, each second, while it is cold; zero
  /// when it takes any number.
  request_rate warmupRate;
  /// Set for model engines, whose instances serve in groups; empty for other services.
  std::optional<engine_profile> engine;
};

} // namespace persimmon::routes
