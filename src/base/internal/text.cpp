#include "base/text.h"

#include <algorithm>
#include <cctype>

namespace persimmon {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

} // namespace

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kWhitespace) - first + 1);
}

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return lower;
}

} // namespace persimmon
