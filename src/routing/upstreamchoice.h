#pragma once

#include "routing/upstream.h"

#include <cstddef>
#include <memory>

namespace persimmon::routing {

/// Why an upstream was chosen, or why no upstream was chosen.
enum class choice_reason
{
  /// First in rendezvous order for the request's prefix.
  affinity,
  /// First in rendezvous order that is not overloaded, after an overloaded one.
  affinity_spill,
  /// The less loaded of two in the router's own zone.
  own_zone,
  /// The less loaded of two in any zone, since the own zone has no usable upstream or a higher
  /// load.
  other_zone,
  /// A test of an upstream on probation.
  probation_test,
  /// No healthy upstream is usable; the chosen upstream is ejected or on probation.
  last_resort,
  /// Baseline policies.
  random,
  round_robin,
  least_reported_load,
  /// No upstream is eligible.
  none_eligible,
  /// All eligible upstreams are excluded.
  all_excluded,
  /// An eligible, not excluded upstream exists, but each runs as many requests as the document
  /// allows.
  all_full
};

/// Returns the name of a reason that logs and metrics use.
const char*
ChoiceReasonName(choice_reason aReason);

/// Result of a choice.
struct upstream_choice
{
  /// The chosen upstream; null when no upstream was chosen.
  std::shared_ptr<const upstream> target;
  choice_reason why = choice_reason::none_eligible;
  /// Slot of the upstream in the pool.
  std::size_t slot = 0;
  /// Estimated load of the upstream at the time of the choice.
  std::uint32_t load = 0;
};

} // namespace persimmon::routing
