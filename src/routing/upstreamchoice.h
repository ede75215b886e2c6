#pragma once

#include "routing/upstream.h"

#include <cstddef>
#include <memory>

namespace persimmon::routing {

/// Why an upstream was chosen, or why none was.
enum class choice_reason
{
  /// First in rendezvous order for the request's prefix.
  affinity,
  /// First in rendezvous order among those that are not overloaded.
  affinity_spill,
  /// Less loaded of two in the router's own zone.
  own_zone,
  /// Less loaded of two in any zone, since the own zone has none or is overloaded.
  other_zone,
  /// A test of an upstream on probation.
  probation_test,
  /// Every healthy upstream is excluded; this one failed or is on probation.
  last_resort,
  random,
  round_robin,
  least_reported_load,
  /// No upstream is eligible.
  none_eligible,
  /// All eligible upstreams are excluded.
  all_excluded,
  /// All eligible upstreams run as many requests as their document allows.
  all_full
};

/// Name of a reason as logs and metrics write it.
const char*
ChoiceReasonName(choice_reason aReason);

/// Result of a choice.
struct upstream_choice
{
  /// Null when none was chosen.
  std::shared_ptr<const upstream> target;
  choice_reason why = choice_reason::none_eligible;
  /// Position in the pool.
  std::size_t slot = 0;
  /// Load that the choice was based on.
  std::uint32_t load = 0;
};

} // namespace persimmon::routing
