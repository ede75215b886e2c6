#pragma once

namespace persimmon::dispatch {

/// Why no upstream is selected for a call.
enum class upstream_shortage
{
  /// No upstream accepts calls for the service and model.
  none_available,
  /// All are in availability zones that are emptied.
  all_emptied,
  /// Some would accept calls, but all of them have asked this router for a pause.
  all_paused,
  /// Some accept calls, but all of them state limits that allow this router no call now.
  all_limited,
  /// Most calls are late, and this router has as many in progress as it may.
  overloaded,
  /// Some would be selected for a call that waits long enough or was not refused by them.
  all_full
};

} // namespace persimmon::dispatch
