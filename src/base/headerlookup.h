#pragma once

#include <string>
#include <string_view>

namespace persimmon {

/// Returns whether two HTTP header names are equal; they are case-insensitive (RFC 9110).
bool
SameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Returns the value of the first header with a name; empty when there is none. The elements of
/// aHeaders have the members `name` and `value`.
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
