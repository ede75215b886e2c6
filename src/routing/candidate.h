#pragma once

#include "routing/ineligibility.h"
#include "routing/loadreport.h"
#include "routing/upstream.h"

#include <memory>

namespace persimmon::routing {

/// An upstream of a service and its eligibility for requests.
struct candidate
{
  std::shared_ptr<const upstream> target;
  /// Reason that does not depend on the time; `none` is valid only before `evidenceExpiresAt`.
  ineligibility why = ineligibility::none;
  /// When the newest observation of the group expires; never (INT64_MAX) for plain services.
  time_point evidenceExpiresAt{ INT64_MAX };
  load_report load;

  /// Returns why the upstream is not eligible at a time; `none` when it is eligible.
  [[nodiscard]] ineligibility IneligibilityAt(time_point aNow) const
  {
    if (why != ineligibility::none) {
      return why;
    }
    return aNow < evidenceExpiresAt ? ineligibility::none : ineligibility::evidence_expired;
  }
};

} // namespace persimmon::routing
