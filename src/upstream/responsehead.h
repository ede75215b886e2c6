#pragma once

#include "upstream/upstreamheader.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon::upstream {

/// Status and headers of an upstream's response.
struct response_head
{
  int status = 0;
  std::vector<upstream_header> headers;

  /// Returns the value of the first header with this name (case-insensitive); empty when missing.
  [[nodiscard]] std::string Header(std::string_view aName) const;
};

} // namespace persimmon::upstream
