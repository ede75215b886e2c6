#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon {

/// A member of a JSON object as it stands in the text: its name between the quotes, and its value.
struct json_member
{
  std::string_view name;
  std::string_view value;
};

/// The members of a JSON object that were found in its text.
struct json_members
{
  std::vector<json_member> members;
  /// False when the text ended or its structure broke within the last member, whose value is then
  /// the rest of the text.
  bool isWhole = false;

  /// Returns the value of the last member with a name; empty when there is none.
  [[nodiscard]] std::string_view Find(std::string_view aName) const;
};

/// Finds where values begin and end in a JSON text by its structure alone: brackets, commas, colons
/// and quotes. What stands within a string, a number or a word is not looked at, so that it cannot
/// keep other values from being found.
class json_scanner
{
public:
  static constexpr std::size_t kNotFound = std::string_view::npos;

  explicit json_scanner(std::string_view aText)
    : mText(aText)
  {
  }

  /// Returns the first position from aStart on that is no white space; the size of the text when
  /// there is none.
  [[nodiscard]] std::size_t SkipBlanks(std::size_t aStart) const;
  /// Returns whether a character is the next one that is no white space.
  [[nodiscard]] bool IsNext(char aCharacter, std::size_t aStart) const;
  /// Returns the position behind the value whose first character is at aStart; kNotFound when its
  /// structure breaks or is nested too deep, or the text ends before.
  [[nodiscard]] std::size_t EndOfValue(std::size_t aStart) const;
  /// Returns whether the text ends within the value whose first character is at aStart, outside of
  /// its strings, while nothing was odd up to there.
  [[nodiscard]] bool IsCutOff(std::size_t aStart) const;
  /// Returns the position behind the string that starts at aStart.
  [[nodiscard]] std::size_t EndOfString(std::size_t aStart) const;
  /// Returns the position behind the name of a member and its colon.
  [[nodiscard]] std::size_t EndOfName(std::size_t aStart) const;

private:
  /// As EndOfValue(), but returns kCutOff where IsCutOff().
  [[nodiscard]] std::size_t FindEnd(std::size_t aStart) const;
  /// Returns the position behind the brackets that close what is open; removes them from aOpen.
  [[nodiscard]] std::size_t CloseBrackets(std::size_t aStart, std::string& aOpen) const;
  /// Returns where the next value of an array or, with aIsMember, of an object starts; kNotFound
  /// when neither a comma nor a name leads to it.
  [[nodiscard]] std::size_t StartOfNext(std::size_t aStart,
                                        bool aIsBehindValue,
                                        bool aIsMember) const;
  [[nodiscard]] std::size_t EndOfScalar(std::size_t aStart) const;

  static constexpr std::size_t kCutOff = kNotFound - 1;

  std::string_view mText;
};

/// Returns the members of the object that a text holds; none, not whole, when it holds no object.
json_members
SplitJsonObject(std::string_view aText);

/// Returns the items of the array that a text holds; nothing when it holds no array, or its
/// structure is broken.
std::optional<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText);

} // namespace persimmon
