#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>

namespace persimmon::peers {

enum class member_state : std::uint8_t
{
  alive,
  /// Unreachable for some peer; still counted until it is declared dead.
  suspect,
  /// Gone in this life; a later life or a refutation brings it back.
  dead
};

/// A router as the mesh knows it.
struct member
{
  router_id id;
  /// Start of the process, in milliseconds of wall-clock time: one life of the router.
  std::uint64_t life = 0;
  /// Raised by the member itself to refute a suspicion.
  std::uint64_t sequence = 0;
  member_state state = member_state::alive;
  endpoint address;
  zone_name zone;
  /// When this state was learned, on the holder's clock.
  time_point since;

  bool operator==(const member&) const = default;
};

/// Name of a state for logs and status pages.
const char*
MemberStateName(member_state aState);

} // namespace persimmon::peers
