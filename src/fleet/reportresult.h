#pragma once

#include "fleet/enginereport.h"

#include <optional>

namespace persimmon::fleet {

/// Why a request for the report of an instance brought none.
enum class report_failure
{
  /// Nothing arrived in time, or the connection broke. A sound instance may be silent for seconds
  /// and then go on, so this proves nothing.
  no_answer,
  /// No connection was accepted in time. A sound instance may be cut off for a second or so, so
  /// this proves nothing either; but nobody's calls reach it meanwhile.
  unreachable,
  /// This process was late itself: the time for an answer passed while it did not look for one.
  inconclusive,
  /// What arrived is no valid report.
  invalid,
  /// Nothing listens at the address: the process has ended, or the instance drains and takes no
  /// more.
  refused,
  /// Another instance answers at the address.
  misdirected
};

/// Returns whether a failure proves that an instance that is not leaving has ended.
[[nodiscard]] constexpr bool
ProvesLoss(report_failure aFailure)
{
  return aFailure == report_failure::refused || aFailure == report_failure::misdirected;
}

/// The report of an instance, or why there is none.
struct report_result
{
  std::optional<engine_report> report;
  /// Meaningless with a report.
  report_failure failure = report_failure::no_answer;
};

} // namespace persimmon::fleet
