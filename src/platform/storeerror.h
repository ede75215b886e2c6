#pragma once

#include "base/reason.h"

namespace persimmon::platform {

enum class store_error
{
  none,
  /// The object does not exist.
  not_found,
  /// The condition of a write does not hold; nothing was changed.
  conflict,
  /// The platform could not be reached or refused before acting; nothing was changed.
  unavailable,
  /// The request went out and no answer came; the write may or may not have happened, or may
  /// still happen.
  unknown_outcome,
  /// The platform asks for fewer calls; nothing was changed.
  rate_limited,
  /// The watched revision is too old; list again.
  compacted,
  /// The platform's answer could not be understood.
  bad_answer
};

using store_failure = reason<store_error>;

/// Name of a code for logs and messages.
const char*
StoreErrorName(store_error aError);

} // namespace persimmon::platform
