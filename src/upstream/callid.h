#pragma once

#include "base/ids.h"

namespace persimmon::upstream {

/// One call of an upstream loop; never used again within the process.
using call_id = number_id<struct call_id_tag>;

} // namespace persimmon::upstream
