#pragma once

#include "base/ids.h"

namespace persimmon::upstream {

/// Identifies a call of an upstream loop. The loop never reuses an id.
using call_id = number_id<struct call_id_tag>;

} // namespace persimmon::upstream
