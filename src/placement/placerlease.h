#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmon::placement {

/// Value of a lease object: a placer counts as live for `length` after each renewal.
struct placer_lease
{
  placer_id placer;
  duration length;
  /// Number of renewals; makes each renewal change the object.
  std::uint64_t renewals = 0;

  bool operator==(const placer_lease&) const = default;
};

std::string
RenderLease(const placer_lease& aLease);

/// Parses a lease; empty when the text is invalid.
std::optional<placer_lease>
ParseLease(std::string_view aText);

} // namespace persimmon::placement
