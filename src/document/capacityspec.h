#pragma once

#include <cstdint>

namespace persimmon {

/// How much of a model service is wanted.
struct capacity_spec
{
  /// Replicas wanted.
  std::int64_t replicas = 0;
  /// Replicas that a planned change must leave serving, while it can be kept.
  std::int64_t minReplicas = 0;
  /// Instances in each replica.
  std::int64_t instancesPerReplica = 1;

  bool operator==(const capacity_spec&) const = default;
};

} // namespace persimmon
