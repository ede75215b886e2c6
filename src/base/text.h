#pragma once

#include <string>
#include <string_view>

namespace persimmon {

/// Returns a text without the blanks and line ends around it.
std::string_view
Trimmed(std::string_view aText);

/// Returns a text with its ASCII letters in lower case.
std::string
LowerCase(std::string_view aText);

} // namespace persimmon
