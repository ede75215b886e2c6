#pragma once

#include "routing/ineligibility.h"
#include "routing/loadreport.h"
#include "routing/upstream.h"

#include <memory>

namespace persimmon::routing {

/// An upstream of a service and whether requests may be sent to it.
struct candidate
{
  std::shared_ptr<const upstream> target;
  /// A reason that holds until the next event; `none` counts only before `freshUntil`.
  ineligibility why = ineligibility::none;
  /// When the evidence for the group expires; the end of time for plain services.
  time_point freshUntil{ INT64_MAX };
  load_report load;

  /// Returns why the upstream gets no requests at a moment, or `none`.
  [[nodiscard]] ineligibility WhyNot(time_point aNow) const
  {
    if (why != ineligibility::none) {
      return why;
    }
    return aNow < freshUntil ? ineligibility::none : ineligibility::evidence_expired;
  }
};

} // namespace persimmon::routing
