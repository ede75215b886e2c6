#pragma once

#include "base/random.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// Returns a text with a few bytes changed, cut out, doubled or replaced by pieces of JSON, for
/// tests that feed parsers with damaged input.
inline std::string
MutatedText(std::string_view aText, random_source& aRandom)
{
  static const std::vector<std::string> kPieces = {
    "{",    "}",    "[",  "]",     ":",       ",",    "\"",
    "null", "true", "-1", "1e400", "\\u0000", "\xff", "99999999999999999999"
  };
  std::string text(aText);
  const std::uint64_t changes = 1 + aRandom.Below(4);
  for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
    const std::size_t at = aRandom.Below(text.size());
    const std::size_t length = aRandom.Below(text.size() - at) % 16;
    switch (aRandom.Below(4)) {
      case 0:
        text[at] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      default:
        text.replace(at, length, kPieces[aRandom.Below(kPieces.size())]);
        break;
    }
  }
  return text;
}

} // namespace persimmon
