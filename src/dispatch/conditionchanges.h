#pragma once

#include "base/clock.h"
#include "peers/messages.h"

#include <optional>

namespace persimmon::dispatch {

/// What the statements of a response have changed.
struct condition_changes
{
  /// The upstream counts as leaving from now on; nothing when it does not, or did before.
  std::optional<peers::leaving_message> leaving;
  /// Time for which the upstream gets no calls from this router; nothing when it asks for no pause.
  std::optional<duration> pause;
  /// What the other routers need to know of the upstream's limit, if anything.
  std::optional<peers::rate_limit_message> limit;
  /// True when the limit differs from the former one, not only when it is to be told again.
  bool limitChanged = false;
};

} // namespace persimmon::dispatch
