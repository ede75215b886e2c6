#pragma once

#include "base/ids.h"

namespace persimmon::upstream {

/// Identifies a timer of an upstream loop. The loop never reuses an id.
using timer_id = number_id<struct timer_id_tag>;

} // namespace persimmon::upstream
