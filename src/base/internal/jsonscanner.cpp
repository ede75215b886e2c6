#include "base/jsonscanner.h"

#include "base/jsonlimits.h"

#include <algorithm>
#include <string>

namespace persimmon {
namespace {

constexpr std::string_view kBlanks = " \t\r\n";
/// Characters at which a number or a word ends.
constexpr std::string_view kEndsOfScalar = " \t\r\n,:[]{}\"";

} // namespace

std::string_view
json_members::Find(std::string_view aName) const
{
  const auto found =
    std::find_if(members.rbegin(), members.rend(), [&](const json_member& aMember) {
      return aMember.name == aName;
    });
  return found == members.rend() ? std::string_view() : found->value;
}

std::size_t
json_scanner::SkipBlanks(std::size_t aStart) const
{
  return std::min(mText.find_first_not_of(kBlanks, aStart), mText.size());
}

bool
json_scanner::IsNext(char aCharacter, std::size_t aStart) const
{
  const std::size_t position = SkipBlanks(aStart);
  return position < mText.size() && mText[position] == aCharacter;
}

std::size_t
json_scanner::EndOfString(std::size_t aStart) const
{
  std::size_t position = aStart + 1;
  while (position < mText.size() && mText[position] != '"') {
    position += mText[position] == '\\' ? 2 : 1;
  }
  return position < mText.size() ? position + 1 : kNotFound;
}

std::size_t
json_scanner::EndOfScalar(std::size_t aStart) const
{
  const std::size_t end = std::min(mText.find_first_of(kEndsOfScalar, aStart), mText.size());
  return end > aStart ? end : kNotFound;
}

std::size_t
json_scanner::EndOfName(std::size_t aStart) const
{
  const std::size_t quote = SkipBlanks(aStart);
  if (!IsNext('"', quote)) {
    return kNotFound;
  }
  const std::size_t end = EndOfString(quote);
  return end != kNotFound && IsNext(':', end) ? SkipBlanks(end) + 1 : kNotFound;
}

std::size_t
json_scanner::EndOfValue(std::size_t aStart) const
{
  const std::size_t end = FindEnd(aStart);
  return end == kCutOff ? kNotFound : end;
}

bool
json_scanner::IsCutOff(std::size_t aStart) const
{
  return FindEnd(aStart) == kCutOff;
}

std::size_t
json_scanner::FindEnd(std::size_t aStart) const
{
  // Closing brackets of the objects and arrays that are open; the innermost is the last.
  std::string open;
  std::size_t position = SkipBlanks(aStart);
  while (position < mText.size() && open.size() <= kMaxJsonLevels) {
    const char first = mText[position];
    bool isComplete = true;
    if (first == '{' || first == '[') {
      open.push_back(first == '{' ? '}' : ']');
      ++position;
      isComplete = IsNext(open.back(), position);
    } else {
      position = first == '"' ? EndOfString(position) : EndOfScalar(position);
    }
    if (isComplete) {
      position = CloseBrackets(position, open);
    }
    if (position == kNotFound || (isComplete && open.empty())) {
      return position;
    }
    position = StartOfNext(position, isComplete, open.back() == '}');
  }
  return position == mText.size() ? kCutOff : kNotFound;
}

std::size_t
json_scanner::CloseBrackets(std::size_t aStart, std::string& aOpen) const
{
  std::size_t position = aStart;
  while (position != kNotFound && !aOpen.empty() && IsNext(aOpen.back(), position)) {
    aOpen.pop_back();
    position = SkipBlanks(position) + 1;
  }
  return position;
}

std::size_t
json_scanner::StartOfNext(std::size_t aStart, bool aIsBehindValue, bool aIsMember) const
{
  std::size_t position = SkipBlanks(aStart);
  if (aIsBehindValue && position < mText.size()) {
    position = mText[position] == ',' ? SkipBlanks(position + 1) : kNotFound;
  }
  if (aIsMember && position < mText.size()) {
    position = EndOfName(position);
  }
  return position == kNotFound ? kNotFound : SkipBlanks(position);
}

json_members
SplitJsonObject(std::string_view aText)
{
  const json_scanner scanner(aText);
  json_members found;
  if (!scanner.IsNext('{', 0)) {
    return found;
  }
  std::size_t position = scanner.SkipBlanks(0) + 1;
  if (scanner.IsNext('}', position)) {
    found.isWhole = scanner.SkipBlanks(scanner.SkipBlanks(position) + 1) == aText.size();
    return found;
  }
  while (true) {
    const std::size_t quote = scanner.SkipBlanks(position);
    const std::size_t behindName = scanner.EndOfName(position);
    if (behindName == json_scanner::kNotFound) {
      return found;
    }
    const std::size_t nameEnd = scanner.EndOfString(quote) - 1;
    const std::size_t begin = scanner.SkipBlanks(behindName);
    const std::size_t end = scanner.EndOfValue(begin);
    const std::string_view name = aText.substr(quote + 1, nameEnd - quote - 1);
    const bool isFollowed =
      end != json_scanner::kNotFound && (scanner.IsNext(',', end) || scanner.IsNext('}', end));
    if (!isFollowed) {
      found.members.push_back({ name, aText.substr(begin) });
      return found;
    }
    found.members.push_back({ name, aText.substr(begin, end - begin) });
    position = scanner.SkipBlanks(end) + 1;
    if (scanner.IsNext('}', end)) {
      found.isWhole = scanner.SkipBlanks(position) == aText.size();
      return found;
    }
  }
}

std::optional<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText)
{
  const json_scanner scanner(aText);
  const std::size_t start = scanner.SkipBlanks(0);
  const std::size_t end = scanner.EndOfValue(start);
  if (!scanner.IsNext('[', 0) || end == json_scanner::kNotFound ||
      scanner.SkipBlanks(end) != aText.size()) {
    return std::nullopt;
  }
  std::vector<std::string_view> items;
  std::size_t position = scanner.SkipBlanks(start + 1);
  while (aText[position] != ']') {
    const std::size_t itemEnd = scanner.EndOfValue(position);
    items.push_back(aText.substr(position, itemEnd - position));
    position = scanner.SkipBlanks(itemEnd);
    position = aText[position] == ',' ? scanner.SkipBlanks(position + 1) : position;
  }
  return items;
}

} // namespace persimmon
