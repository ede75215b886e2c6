#pragma once

#include <string>

namespace persimmon {

/// Name and value of an HTTP header.
struct header_field
{
  std::string name;
  std::string value;
};

} // namespace persimmon
