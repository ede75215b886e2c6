#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>

namespace persimmon::peers {

/// Liveness of a router in the mesh.
enum class member_state : std::uint8_t
{
  alive,
  /// Unreachable from at least one peer; counts as live until it is declared dead.
  suspect,
  /// Stopped or unreachable; a restart or a refutation makes the member alive again.
  dead
};

/// A router of the mesh.
struct member
{
  router_id id;
  /// Start of the router's process in milliseconds of wall-clock time; identifies the process among
  /// restarts of the router.
  std::uint64_t startedAtMs = 0;
  /// Incremented by the member itself to refute a suspicion (SWIM's incarnation number).
  std::uint64_t refutationNumber = 0;
  member_state state = member_state::alive;
  endpoint address;
  zone_name zone;
  /// Time at which this process recorded the state, on its own clock.
  time_point stateChangedAt;
  /// Address at which the router passes bytes on to upstreams; empty when it does not.
  endpoint relay{};
  /// Part of a processor that the router may use, in percent; 0 when it is not known.
  std::uint32_t processorPercent = 0;

  bool operator==(const member&) const = default;
};

/// Returns the name of a state for logs and status pages.
const char*
MemberStateName(member_state aState);

} // namespace persimmon::peers
