#pragma once

namespace persimmon::dispatch {

/// Factor on the cost of an upstream at which calls fail often.
constexpr double kFailureCostFactor = 8;

} // namespace persimmon::dispatch
