#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace persimmon::routing {

/// Prefixes counted at once; more popular ones are among them by the time they matter.
constexpr std::size_t kMaxPrefixesCounted = 4096;

/// Estimates which part of a service's requests begin with a prefix, from this router's requests
/// alone; older requests count for less.
class prefix_popularity
{
public:
  /// Counts a request and returns the part of all requests that have its prefix, as far as the
  /// counts are certain: 0 until there is evidence.
  double Note(std::uint64_t aPrefix);

private:
  void Fade();

  std::unordered_map<std::uint64_t, double> mCounts;
  double mTotal = 0;
  std::size_t mSinceFade = 0;
};

} // namespace persimmon::routing
