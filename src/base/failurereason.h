#pragma once

#include <string>

namespace persimmon {

/// Why an operation of one layer gave no result. Code is that layer's own enumeration; a layer
/// turns the codes of the layer below into its own.
template<typename Code>
struct failure_reason
{
  Code code{};
  std::string detail;
};

} // namespace persimmon
