#pragma once

#include <string>
#include <string_view>

namespace persimmon {

/// Compares two names of HTTP headers, which have no case (RFC 9110).
bool
SameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Returns the value of the first header of that name; empty when missing. Headers are aggregates
/// with a `name` and a `value`.
template<typename Headers>
std::string
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& header : aHeaders) {
    if (SameHeaderName(header.name, aName)) {
      return header.value;
    }
  }
  return {};
}

} // namespace persimmon
