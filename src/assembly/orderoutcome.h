#pragma once

namespace persimmon::assembly {

/// Outcome of an order that was sent to an engine instance.
enum class order_outcome
{
  /// The instance has started to execute the order.
  begun,
  /// The instance is already in the requested state.
  done,
  /// The order does not fit the state of the instance.
  conflict,
  /// The instance has seen a higher fencing token or epoch.
  superseded,
  /// The order reached an instance other than the addressed one.
  misdirected,
  /// The instance does not support the order.
  invalid,
  /// The instance refused the order temporarily; nothing was done.
  unavailable,
  /// The instance was not reached and nothing was sent.
  not_sent,
  /// No answer arrived; the order may have been accepted or may still be executed later.
  unknown
};

/// Returns the name of an outcome for logs and metrics.
const char*
OrderOutcomeName(order_outcome aOutcome);

} // namespace persimmon::assembly
