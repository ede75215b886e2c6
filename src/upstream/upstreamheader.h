#pragma once

#include <string>

namespace persimmon::upstream {

/// Name and value of an HTTP header of an upstream request or response.
struct upstream_header
{
  std::string name;
  std::string value;
};

} // namespace persimmon::upstream
