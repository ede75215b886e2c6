#pragma once

#include <string>
#include <string_view>

namespace persimmon::history {

/// Returns the digest that histories give for a request body or a whole answer's text: the 64-bit
/// xxHash as 16 hexadecimal digits.
std::string
DigestOf(std::string_view aText);

} // namespace persimmon::history
