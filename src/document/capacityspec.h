#pragma once

#include <cstdint>

namespace persimmon {

/// Desired size of a model service.
struct capacity_spec
{
  /// Desired number of replicas.
  std::int64_t replicas = 0;
  /// Number of replicas that planned changes leave serving, as far as possible.
  std::int64_t minReplicas = 0;
  /// Number of instances per replica.
  std::int64_t instancesPerReplica = 1;

  bool operator==(const capacity_spec&) const = default;
};

} // namespace persimmon
