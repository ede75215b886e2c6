#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmon::placement {

/// The value of a lease object: a placer is alive for `length` from each renewal.
struct placer_lease
{
  placer_id placer;
  duration length;
  /// Counts the renewals, so that each one changes the object.
  std::uint64_t renewals = 0;

  bool operator==(const placer_lease&) const = default;
};

std::string
RenderLease(const placer_lease& aLease);

/// Parses a lease; an empty result means that the text is not one.
std::optional<placer_lease>
ParseLease(std::string_view aText);

} // namespace persimmon::placement
