#pragma once

#include <string>

namespace persimmon::upstream {

struct upstream_header
{
  std::string name;
  std::string value;
};

} // namespace persimmon::upstream
