#pragma once

namespace persimmon::placement {

/// What a deployment minds more; only their ratio counts.
struct placement_weights
{
  /// Weight of one group that should serve and does not, for a second.
  double downtime = 1;
  /// Weight of one instance that does not serve while a service waits, for a second.
  double stranded = 1;
};

} // namespace persimmon::placement
