#include "base/json.h"

#include <algorithm>
#include <fmt/format.h>

namespace persimmon {
namespace {

constexpr std::size_t kLongestShownValue = 80;
constexpr std::size_t kMostLevels = 100;

std::string
Shown(const nlohmann::json& aValue)
{
  std::string text = aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kLongestShownValue) {
    text = text.substr(0, kLongestShownValue) + "...";
  }
  return text;
}

/// Returns whether brackets outside of texts are nested deeper than allowed. Rendering and copying
/// a value recurse, so that deep input could exhaust the stack.
bool
IsTooDeep(std::string_view aText)
{
  std::size_t level = 0;
  bool inText = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char letter = aText[at];
    if (inText) {
      at += letter == '\\' ? 1 : 0;
      inText = letter != '"';
    } else if (letter == '"') {
      inText = true;
    } else if (letter == '[' || letter == '{') {
      ++level;
    } else if ((letter == ']' || letter == '}') && level > 0) {
      --level;
    }
    if (level > kMostLevels) {
      return true;
    }
  }
  return false;
}

const nlohmann::json&
EmptyList()
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
  if (IsTooDeep(aText)) {
    aProblem = { "$", "deep nesting", fmt::format("JSON of at most {} levels", kMostLevels) };
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
    Fail(mPath, Shown(mValue), "an object");
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
  mKnown.emplace_back(aName);
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
    Fail(PathOf(aName), Shown(*value), "a text that is not empty");
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
    Fail(PathOf(aName), Shown(*value), "a text");
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
  mKnown.pop_back();
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
    Fail(
      PathOf(aName), Shown(*value), fmt::format("a whole number from {} to {}", aLowest, aHighest));
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
    Fail(PathOf(aName), Shown(*value), "true or false");
    return aDefault;
  }
  return value->get<bool>();
}

const nlohmann::json&
json_reader::List(const char* aName)
{
  const nlohmann::json* value = Member(aName, false);
  if (value == nullptr) {
    return EmptyList();
  }
  if (!value->is_array()) {
    Fail(PathOf(aName), Shown(*value), "a list");
    return EmptyList();
  }
  return *value;
}

bool
json_reader::Finish()
{
  if (mValue.is_object() && !mAllowUnknown) {
    for (const auto& [name, value] : mValue.items()) {
      if (std::find(mKnown.begin(), mKnown.end(), name) == mKnown.end()) {
        Fail(PathOf(name), Shown(value), "no such member");
      }
    }
  }
  return mProblem.path.empty();
}

} // namespace persimmon
