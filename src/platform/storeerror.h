#pragma once

#include "base/failurereason.h"

namespace persimmon::platform {

/// Outcome of a call to the object store.
enum class store_error
{
  /// The call succeeded.
  none,
  /// The object does not exist.
  not_found,
  /// The precondition of a write does not hold; nothing was changed.
  conflict,
  /// The platform could not be reached or refused the call; nothing was changed.
  unavailable,
  /// The request was sent and no valid response arrived; a write may have taken effect, or may
  /// still do so.
  unknown_outcome,
  /// The platform limits the rate of calls; nothing was changed.
  rate_limited,
  /// The platform no longer has the changes after the watched revision; list again.
  compacted,
  /// The response is invalid or has an unexpected status.
  bad_answer,
  /// The response is larger than this process takes. The same call would get it again.
  too_large
};

/// Error code and detail text of a failed call to the object store.
using store_failure = failure_reason<store_error>;

/// Returns the name of an error for logs and messages.
const char*
StoreErrorName(store_error aError);

} // namespace persimmon::platform
