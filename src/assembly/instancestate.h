#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/enginereport.h"
#include "fleet/reportresult.h"

#include <cstdint>
#include <optional>

namespace persimmon::assembly {

/// State of one engine instance in its current incarnation, as a group_controller has observed it.
struct instance_state
{
  incarnation incarnationId;
  endpoint address;
  zone_name zone;
  /// Latest report; empty before the first one.
  std::optional<fleet::engine_report> report;
  time_point lastReportAt{ INT64_MIN / 2 };
  /// Time of the first report since the latest probe without an answer.
  time_point answeringSince{ INT64_MIN / 2 };
  /// Consecutive probes without an answer.
  std::uint32_t missedReports = 0;
  /// Time of the first of them; meaningless when there are none.
  time_point silentSince{ INT64_MIN / 2 };
  /// Time of the first of the latest of them in a row for which no connection was accepted; empty
  /// when one was accepted for the latest, or when there are none.
  std::optional<time_point> unreachableSince;
  /// Number of the latest of them in a row that prove that the instance has ended.
  std::uint32_t provedLosses = 0;
  /// Latest time at which the group that it heads was at work, as far as its callers have told.
  time_point lastActivityAt{ INT64_MIN / 2 };
  /// True when its entry showed that it drains.
  bool hasDrained = false;
  /// True while a probe is in flight.
  bool probePending = false;
  time_point nextProbeAt{ INT64_MIN / 2 };
  /// True when a router has reported its group as stalled since the latest answer.
  bool stallSuspected = false;
  /// Model of the last group in which the instance was ready; empty when there is none.
  routes::model_name lastGroupModel;
  /// Epoch of the group that it was last ordered to leave; empty when there is none.
  std::optional<generation> leaveOrderedEpoch;
  /// Number of orders that it has accepted; empty while it is not known.
  std::optional<std::uint64_t> acceptedOrders;
  /// Latest number of accepted orders at which it is known to have been in no group; empty when
  /// none is known, or when it has reported a group since. Entries and reports may show a group for
  /// a while after it has left.
  std::optional<std::uint64_t> ordersWithoutGroup;
  /// True when it has rejected an order since its latest report: it may have accepted another one.
  bool mustReportOrders = false;
  /// When it was last ordered to leave a group.
  std::optional<time_point> leaveSentAt;
  /// Model whose weights are being staged; empty when there is none.
  routes::model_name stagingModel;
  /// When the staging is given up.
  time_point stagingDeadline{ INT64_MIN / 2 };
  /// The instance is not selected for a group or for staging before this time.
  time_point ineligibleUntil{ INT64_MIN / 2 };

  /// Returns true when the instance is in no group as long as it accepts no further order.
  [[nodiscard]] bool IsInNoGroup() const
  {
    return acceptedOrders && ordersWithoutGroup == acceptedOrders;
  }
};

} // namespace persimmon::assembly
