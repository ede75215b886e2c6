#pragma once

#include <cstdint>

namespace persimmon::relay {

/// Whether a peer's request for a tunnel is carried out.
enum class relay_verdict : std::uint8_t
{
  accepted,
  /// This process reaches no upstream itself, or is stopping.
  unavailable,
  /// No upstream is registered at the address here, or this process does not reach it itself.
  no_path
};

} // namespace persimmon::relay
