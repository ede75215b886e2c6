#pragma once

#include "base/ids.h"

namespace persimmon::upstream {

/// One timer of an upstream loop; never used again within the process.
using timer_id = number_id<struct timer_id_tag>;

} // namespace persimmon::upstream
