#pragma once

#include <algorithm>
#include <cstddef>

namespace persimmon::gateway {

/// Descriptors of a process by purpose.
struct descriptor_division
{
  /// Connections of callers.
  std::size_t callers = 0;
  /// Tunnels for peers, with two descriptors each.
  std::size_t tunnels = 0;
};

/// Descriptors for files, listening sockets and the event loop.
constexpr std::size_t kOtherDescriptors = 240;
/// Callers get this part of the rest. Upstreams, the store, peers and tunnels share what is left:
/// of the callers' connections few are in use at a time.
constexpr std::size_t kCallersNumerator = 3;
constexpr std::size_t kCallersDenominator = 4;
/// Tunnels get at most this part of what is left.
constexpr std::size_t kTunnelsDivisor = 2;
constexpr std::size_t kMinCallers = 16;
/// Idle connections give way once less than this part of the callers' descriptors is free, so that
/// a burst finds room until the next check.
constexpr std::size_t kSpareDivisor = 8;

/// Divides the descriptors of a process. With few of them, some callers can be taken still.
constexpr descriptor_division
DivideDescriptors(std::size_t aMost)
{
  const std::size_t shared = aMost - std::min(aMost, kOtherDescriptors);
  const std::size_t callers = shared / kCallersDenominator * kCallersNumerator;
  return { std::max(callers, kMinCallers), (shared - callers) / kTunnelsDivisor / 2 };
}

/// Returns how many idle connections of callers have to give way.
constexpr std::size_t
IdleConnectionsToClose(std::size_t aOpen, std::size_t aMost)
{
  const std::size_t wanted = aMost - aMost / kSpareDivisor;
  return aOpen - std::min(aOpen, wanted);
}

} // namespace persimmon::gateway
