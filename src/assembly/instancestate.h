#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/enginereport.h"

#include <cstdint>
#include <optional>

namespace persimmon::assembly {

/// What the assembler has found out about one engine instance in its present life.
struct instance_state
{
  incarnation incarnationId;
  endpoint address;
  /// Newest answer to a question for its state.
  std::optional<fleet::engine_report> report;
  time_point lastReportAt{ INT64_MIN / 2 };
  /// Questions in a row that got no answer.
  std::uint32_t missedReports = 0;
  bool probePending = false;
  time_point nextProbeAt{ INT64_MIN / 2 };
  /// A router saw its group stand still.
  bool stallSuspected = false;
  /// Model of the last group that it was a member of in this life.
  routes::model_name lastGroupModel;
  /// Model whose weights are being staged, and until when that counts.
  routes::model_name stagingModel;
  time_point stagingDeadline{ INT64_MIN / 2 };
  /// Takes no part in a new group before this time.
  time_point ineligibleUntil{ INT64_MIN / 2 };
};

} // namespace persimmon::assembly
