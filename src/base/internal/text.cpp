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

std::vector<std::string>
ListElements(std::string_view aList)
{
  std::vector<std::string> elements;
  std::string_view rest = aList;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    elements.emplace_back(Trimmed(rest.substr(0, end)));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return elements;
}

std::string
PrintableExcerpt(std::string_view aText, std::size_t aMaxBytes)
{
  constexpr char kFirstPrintable = ' ';
  constexpr char kLastPrintable = '~';
  std::string text(aText.substr(0, aMaxBytes));
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aByte) { return aByte < kFirstPrintable || aByte > kLastPrintable; },
    '?');
  return text;
}

} // namespace persimmon
