#pragma once

namespace persimmon::assembly {

/// What became of an order.
enum class order_outcome
{
  /// It has begun.
  begun,
  /// What it asks for holds already.
  done,
  /// It does not fit the instance's state.
  conflict,
  /// A higher fencing token or epoch was seen.
  superseded,
  /// The instance is not the one that was meant.
  misdirected,
  /// The instance does not know such an order.
  invalid,
  /// The instance refused for now; nothing was done.
  unavailable,
  /// Nobody was reached: nothing was sent.
  not_sent,
  /// No answer came; it may have been accepted, or may be carried out later.
  unknown
};

const char*
OrderOutcomeName(order_outcome aOutcome);

} // namespace persimmon::assembly
