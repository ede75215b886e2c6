#pragma once

#include "app/router/clusterboard.h"
#include "base/clock.h"

#include <map>
#include <vector>

namespace persimmon::router {

/// A group that became eligible or ceased to be.
struct eligibility_change
{
  service_name service;
  routing::upstream_id upstream;
  generation version;
  /// `none` for a group that became eligible.
  routing::ineligibility why = routing::ineligibility::none;
};

/// Finds changes of eligibility from one call to the next, for the log.
class eligibility_log
{
public:
  std::vector<eligibility_change> Update(const cluster_board& aBoard, time_point aNow);

private:
  std::map<routing::upstream_id, eligibility_change> mLast;
};

/// Writes a change to the log.
void
LogEligibility(const eligibility_change& aChange);

} // namespace persimmon::router
