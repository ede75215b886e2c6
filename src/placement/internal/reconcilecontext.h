#pragma once

#include "base/random.h"
#include "placement/domaintable.h"
#include "placement/membertracker.h"
#include "placement/placementplan.h"
#include "placement/placementpolicy.h"
#include "placement/placementweights.h"
#include "placement/servicecatalogue.h"

#include <map>

namespace persimmon::placement {

/// When, and in which version of the table, a group entered its current state and generation.
struct group_transition
{
  group_state state = group_state::forming;
  generation version;
  time_point enteredAt;
  revision tableVersion;
};

/// Input of a table_draft.
struct reconcile_context
{
  const service_catalogue& documents;
  const placement_plan& plan;
  const member_tracker& members;
  const std::map<group_id, group_transition>& transitions;
  placement_weights weights;
  placement_policy policy;
  time_point now;
  /// From this time the previous owner's orders can no longer take effect. State of an engine that
  /// ignores fencing tokens counts only when it was read at or after it.
  time_point previousOwnerExpiry;
  /// Table version that every live router has applied.
  revision appliedByRouters;
  random_source& random;
};

} // namespace persimmon::placement
