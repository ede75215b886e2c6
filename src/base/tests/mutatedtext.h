#pragma once

#include "base/random.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Returns a copy of a string with one to four random mutations: a byte changed, or a range erased,
/// duplicated or replaced by a JSON fragment. For tests that feed parsers with corrupt input.
inline std::string
MutatedText(std::string_view aText, random_source& aRandom)
{
  static const std::vector<std::string> kFragments = {
    "{",    "}",    "[",  "]",     ":",       ",",    "\"",
    "null", "true", "-1", "1e400", "\\u0000", "\xff", "99999999999999999999"
  };
  std::string text(aText);
  const std::uint64_t changes = 1 + aRandom.Below(4);
  for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
    const std::size_t position = aRandom.Below(text.size());
    const std::size_t length = aRandom.Below(text.size() - position) % 16;
    switch (aRandom.Below(4)) {
      case 0:
        text[position] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        text.erase(position, length);
        break;
      case 2:
        text.insert(position, text.substr(position, length));
        break;
      default:
        text.replace(position, length, kFragments[aRandom.Below(kFragments.size())]);
        break;
    }
  }
  return text;
}

} // namespace persimmon
