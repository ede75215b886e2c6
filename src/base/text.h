#pragma once

#include <string>
#include <string_view>

namespace persimmon {

/// Returns a string without leading and trailing spaces, tabs and line breaks.
std::string_view
Trimmed(std::string_view aText);

/// Returns a string with its ASCII letters converted to lower case.
std::string
LowerCase(std::string_view aText);

} // namespace persimmon
