#pragma once

namespace persimmon::placement {

/// Costs of downtime and of idle instances for a deployment; only their ratio matters.
struct placement_weights
{
  /// Cost per second of a group that should serve and does not.
  double downtime = 1;
  /// Cost per second of an instance that does not serve while a service waits for instances.
  double stranded = 1;
};

} // namespace persimmon::placement
