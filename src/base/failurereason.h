#pragma once

#include <string>

namespace persimmon {

/// Why an operation of a layer failed. Code is the layer's own error enumeration; each layer maps
/// the codes of the layer below to its own.
template<typename Code>
struct failure_reason
{
  Code code{};
  /// Description for logs and error messages.
  std::string detail;
};

} // namespace persimmon
