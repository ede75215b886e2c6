#include "base/json.h"

#include "base/jsonlimits.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon {
namespace {

/// Longest excerpt of a value in an error message, in bytes.
constexpr std::size_t kMaxExcerptBytes = 80;

/// Returns a value as JSON text, truncated for an error message.
std::string
Excerpt(const nlohmann::json& aValue)
{
  std::string text = aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxExcerptBytes) {
    text = text.substr(0, kMaxExcerptBytes) + "...";
  }
  return text;
}

/// Returns whether brackets outside of strings are nested deeper than kMaxJsonLevels.
bool
ExceedsMaxNesting(std::string_view aText)
{
  std::size_t level = 0;
  bool inString = false;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    const char character = aText[index];
    if (inString) {
      index += character == '\\' ? 1 : 0;
      inString = character != '"';
    } else if (character == '"') {
      inString = true;
    } else if (character == '[' || character == '{') {
      ++level;
    } else if ((character == ']' || character == '}') && level > 0) {
      --level;
    }
    if (level > kMaxJsonLevels) {
      return true;
    }
  }
  return false;
}

const nlohmann::json&
EmptyArray()
{
  static const nlohmann::json kEmpty = nlohmann::json::array();
  return kEmpty;
}

} // namespace

std::string
json_problem::Text() const
{
  return fmt::format("{}: found {}, expected {}", path, found, expected);
}

std::optional<nlohmann::json>
ParseJson(std::string_view aText, json_problem& aProblem)
{
  if (ExceedsMaxNesting(aText)) {
    aProblem = { "$", "deep nesting", fmt::format("JSON of at most {} levels", kMaxJsonLevels) };
    return std::nullopt;
  }
  try {
    return nlohmann::json::parse(aText);
  } catch (const nlohmann::json::parse_error& error) {
    aProblem = { "$", fmt::format("a syntax error at byte {}", error.byte), "JSON in UTF-8" };
    return std::nullopt;
  } catch (const nlohmann::json::out_of_range&) {
    aProblem = { "$", "a number out of range", "numbers that a double can hold" };
    return std::nullopt;
  }
}

json_reader::json_reader(const nlohmann::json& aValue, std::string aPath, json_problem& aProblem)
  : mValue(aValue)
  , mPath(std::move(aPath))
  , mProblem(aProblem)
{
  if (!mValue.is_object()) {
    Fail(mPath, Excerpt(mValue), "an object");
  }
}

std::string
json_reader::PathOf(std::string_view aName) const
{
  return fmt::format("{}.{}", mPath, aName);
}

void
json_reader::Fail(std::string aPath, std::string aFound, std::string aExpected)
{
  if (mProblem.path.empty()) {
    mProblem = { std::move(aPath), std::move(aFound), std::move(aExpected) };
  }
}

const nlohmann::json*
json_reader::Member(const char* aName, bool aRequired)
{
  mReadNames.emplace_back(aName);
  if (!mValue.is_object()) {
    return nullptr;
  }
  const auto found = mValue.find(aName);
  if (found != mValue.end()) {
    return &*found;
  }
  if (aRequired) {
    Fail(PathOf(aName), "nothing", "a value");
  }
  return nullptr;
}

std::string
json_reader::Text(const char* aName)
{
  const nlohmann::json* value = Member(aName, true);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    Fail(PathOf(aName), Excerpt(*value), "a non-empty string");
    return {};
  }
  return value->get<std::string>();
}

std::string
json_reader::TextOr(const char* aName, std::string aDefault)
{
  const nlohmann::json* value = Member(aName, false);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_string()) {
    Fail(PathOf(aName), Excerpt(*value), "a string");
    return aDefault;
  }
  return value->get<std::string>();
}

std::int64_t
json_reader::Number(const char* aName, std::int64_t aLowest, std::int64_t aHighest)
{
  if (Member(aName, true) == nullptr) {
    return aLowest;
  }
  mReadNames.pop_back();
  return NumberOr(aName, aLowest, aHighest, aLowest);
}

std::int64_t
json_reader::NumberOr(const char* aName,
                      std::int64_t aLowest,
                      std::int64_t aHighest,
                      std::int64_t aDefault)
{
  const nlohmann::json* value = Member(aName, false);
  if (value == nullptr) {
    return aDefault;
  }
  const bool tooLarge = value->is_number_unsigned() &&
                        value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  if (!value->is_number_integer() || tooLarge || value->get<std::int64_t>() < aLowest ||
      value->get<std::int64_t>() > aHighest) {
    Fail(PathOf(aName),
         Excerpt(*value),
         fmt::format("a whole number from {} to {}", aLowest, aHighest));
    return aDefault;
  }
  return value->get<std::int64_t>();
}

bool
json_reader::FlagOr(const char* aName, bool aDefault)
{
  const nlohmann::json* value = Member(aName, false);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    Fail(PathOf(aName), Excerpt(*value), "true or false");
    return aDefault;
  }
  return value->get<bool>();
}

const nlohmann::json&
json_reader::List(const char* aName)
{
  const nlohmann::json* value = Member(aName, false);
  if (value == nullptr) {
    return EmptyArray();
  }
  if (!value->is_array()) {
    Fail(PathOf(aName), Excerpt(*value), "an array");
    return EmptyArray();
  }
  return *value;
}

bool
json_reader::Finish()
{
  if (mValue.is_object() && !mAllowUnknown) {
    for (const auto& [name, value] : mValue.items()) {
      if (std::find(mReadNames.begin(), mReadNames.end(), name) == mReadNames.end()) {
        Fail(PathOf(name), Excerpt(value), "no such member");
      }
    }
  }
  return mProblem.path.empty();
}

} // namespace persimmon
