#pragma once

#include "standins/common/fleetfaults.h"

namespace persimmon::standins {

/// The faults of a stand-in service's process that are in force.
struct service_faults : fleet_faults
{
  /// Added to the time that each call runs.
  duration slow;
  /// Share of the calls whose connection is dropped before they run.
  std::int64_t dropBeforePercent = 0;
  /// Share of the calls whose connection is dropped after they ran.
  std::int64_t dropAfterPercent = 0;

  static std::optional<service_faults> Parse(const nlohmann::json& aValue, json_problem& aProblem);
  [[nodiscard]] nlohmann::json Render() const;
};

} // namespace persimmon::standins
