#pragma once

#include "base/headerfield.h"

namespace persimmon::upstream {

/// Header of an upstream request or response.
using upstream_header = header_field;

} // namespace persimmon::upstream
