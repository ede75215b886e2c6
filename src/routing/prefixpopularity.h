#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace persimmon::routing {

/// Prefixes counted at the same time. Popular prefixes are among them, since they occur often and
/// rare prefixes are dropped at each decay.
constexpr std::size_t kMaxCountedPrefixes = 4096;

/// Estimates the fraction of a service's requests that have a prefix, from this router's requests
/// alone; older requests have less weight.
class prefix_popularity
{
public:
  /// Counts a request and returns a lower estimate of the fraction of requests that have its
  /// prefix; 0 until enough requests were counted.
  double RecordRequest(std::uint64_t aPrefix);

private:
  void Decay();

  std::unordered_map<std::uint64_t, double> mCounts;
  double mTotal = 0;
  std::size_t mRequestsSinceDecay = 0;
};

} // namespace persimmon::routing
