#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon {

/// What is wrong with a JSON value: where, what stands there and what was expected.
struct json_problem
{
  std::string path;
  std::string found;
  std::string expected;

  [[nodiscard]] std::string Text() const;
};

/// Parses a text; an empty result means it is no JSON, with aProblem telling the position.
std::optional<nlohmann::json>
ParseJson(std::string_view aText, json_problem& aProblem);

/// Reads the members of one JSON object and remembers the first problem it meets. Members that
/// were never asked for are a problem too when Finish() is called.
class json_reader
{
public:
  json_reader(const nlohmann::json& aValue, std::string aPath, json_problem& aProblem);

  /// Returns a required text; empty texts are a problem.
  std::string Text(const char* aName);
  /// Returns a text, or the default where the member is missing.
  std::string TextOr(const char* aName, std::string aDefault);
  /// Returns a required whole number in [aLowest, aHighest].
  std::int64_t Number(const char* aName, std::int64_t aLowest, std::int64_t aHighest);
  /// Returns a whole number, or the default where the member is missing.
  std::int64_t NumberOr(const char* aName,
                        std::int64_t aLowest,
                        std::int64_t aHighest,
                        std::int64_t aDefault);
  /// Returns a truth value, or the default where the member is missing.
  bool FlagOr(const char* aName, bool aDefault);
  /// Returns a nested value or nullptr; aRequired makes its absence a problem.
  const nlohmann::json* Member(const char* aName, bool aRequired);
  /// Returns a nested array, empty where the member is missing.
  const nlohmann::json& List(const char* aName);
  /// Path of a member, for nested readers and own checks.
  [[nodiscard]] std::string PathOf(std::string_view aName) const;
  /// Records a problem unless there is one already.
  void Fail(std::string aPath, std::string aFound, std::string aExpected);
  /// Ignores members that were not asked for, for messages that newer versions may extend.
  void AllowUnknown() { mAllowUnknown = true; }
  /// Returns true when nothing was wrong.
  bool Finish();

private:
  const nlohmann::json& mValue;
  std::string mPath;
  json_problem& mProblem;
  std::vector<std::string> mKnown;
  bool mAllowUnknown = false;
};

} // namespace persimmon
