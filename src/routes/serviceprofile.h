#pragma once

#include "base/ids.h"
#include "routes/engineprofile.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmon::routes {

/// A service that routes send calls to.
struct service_profile
{
  service_name name;
  std::string healthPath;
  /// Connections that one upstream accepts from all callers together.
  std::uint64_t maxConnections = 0;
  /// Set for model engines, whose instances serve in groups.
  std::optional<engine_profile> engine;
};

} // namespace persimmon::routes
