#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace persimmon {

/// An error in a JSON value: where it is, what was found and what was expected.
struct json_problem
{
  /// Path of the value, such as `$.capacity.replicas`; empty when there is no error.
  std::string path;
  std::string found;
  std::string expected;

  /// Returns the error message.
  [[nodiscard]] std::string Text() const;
};

/// Parses JSON. On a syntax error, a number out of range or too deep nesting, returns an empty
/// result and describes the error in aProblem.
std::optional<nlohmann::json>
ParseJson(std::string_view aText, json_problem& aProblem);

/// Reads the members of a JSON object and records the first error in a json_problem. Finish() also
/// reports members that were never read, unless AllowUnknown() was called.
class json_reader
{
public:
  /// aPath is the path of aValue in the document, for error messages.
  json_reader(const nlohmann::json& aValue, std::string aPath, json_problem& aProblem);

  /// Returns a required string; an empty string is an error.
  std::string Text(const char* aName);
  /// Returns a string, or the default when the member is missing.
  std::string TextOr(const char* aName, std::string aDefault);
  /// Returns a required integer in [aLowest, aHighest]; aLowest on an error.
  std::int64_t Number(const char* aName, std::int64_t aLowest, std::int64_t aHighest);
  /// Returns an integer in [aLowest, aHighest], or the default when the member is missing.
  std::int64_t NumberOr(const char* aName,
                        std::int64_t aLowest,
                        std::int64_t aHighest,
                        std::int64_t aDefault);
  /// Returns a boolean, or the default when the member is missing.
  bool FlagOr(const char* aName, bool aDefault);
  /// Returns a member of any type, or nullptr when it is missing; that is an error if aRequired.
  const nlohmann::json* Member(const char* aName, bool aRequired);
  /// Returns an array member; an empty array when the member is missing.
  const nlohmann::json& List(const char* aName);
  /// Returns the path of a member, for nested readers and for the caller's own checks.
  [[nodiscard]] std::string PathOf(std::string_view aName) const;
  /// Records an error unless one is recorded already.
  void Fail(std::string aPath, std::string aFound, std::string aExpected);
  /// Accepts members that are never read, for messages that newer versions may extend.
  void AllowUnknown() { mAllowUnknown = true; }
  /// Checks for members that were never read, and returns whether there was no error.
  bool Finish();

private:
  const nlohmann::json& mValue;
  std::string mPath;
  json_problem& mProblem;
  std::vector<std::string> mReadNames;
  bool mAllowUnknown = false;
};

} // namespace persimmon
