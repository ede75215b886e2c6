#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Returns a string without leading and trailing spaces, tabs and line breaks.
std::string_view
Trimmed(std::string_view aText);

/// Returns a string with its ASCII letters converted to lower case.
std::string
LowerCase(std::string_view aText);

/// Returns the elements of a list separated by commas, each trimmed.
std::vector<std::string>
ListElements(std::string_view aList);

/// Returns the start of a text for logs, with a question mark for each byte that is not printable
/// ASCII.
std::string
PrintableExcerpt(std::string_view aText, std::size_t aMaxBytes);

} // namespace persimmon
