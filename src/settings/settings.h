#pragma once

#include "base/log.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon {

/// Exit codes that all programs share.
enum exit_code : int
{
  exit_success = 0,
  exit_failure = 1,
  /// The command line, a variable or a value in it is wrong.
  exit_usage = 2
};

/// The settings of one program, from flags, from environment variables and, where it takes one,
/// from a file. The flag `--store-url` goes before the variable PERSIMMON_STORE_URL, which goes
/// before the line `store-url = ...` of the file, which goes before the default. Every program has
/// --help, --version and --check-settings as well.
///
/// Declare the settings, Parse(), read the values, then Finish().
class settings
{
public:
  settings(std::string aProgram, std::string aSummary, std::string aVersion);
  ~settings();

  /// Declares a setting that may be left out.
  void Add(const std::string& aName, const std::string& aDefault, const std::string& aHelp);
  /// Declares a setting that must be given.
  void AddRequired(const std::string& aName, const std::string& aHelp);
  /// Declares `log-level`.
  void AddLogLevel();
  /// Declares `settings-file`, which names a file of lines `name = value`.
  void AddSettingsFile();
  /// Accepts words without a flag, such as a command and its operands.
  void AcceptOperands(const std::string& aHelp);

  /// Reads the command line and the environment. Returns an exit code when the program should end
  /// at once, as after --help.
  std::optional<int> Parse(int aCount, const char* const* aArguments);

  [[nodiscard]] std::string Text(const std::string& aName);
  /// Returns a whole number; one outside the bounds is a problem.
  [[nodiscard]] std::int64_t Number(const std::string& aName,
                                    std::int64_t aLowest,
                                    std::int64_t aHighest);
  /// Returns a number with a fraction; one outside the bounds is a problem.
  [[nodiscard]] double Double(const std::string& aName, double aLowest, double aHighest);
  /// Returns true for `true` and false for `false`.
  [[nodiscard]] bool Flag(const std::string& aName);
  /// Returns the value of `log-level`.
  [[nodiscard]] log_level LogLevel();
  /// Returns the parts of a text between commas; empty parts are left out.
  [[nodiscard]] std::vector<std::string> List(const std::string& aName);
  [[nodiscard]] const std::vector<std::string>& Operands() const;

  /// Records that the value of a setting is wrong; the message names the flag and the variable.
  void Fail(const std::string& aName, const std::string& aExpected);
  /// Prints all problems, or answers --check-settings. Returns an exit code when the program
  /// should end.
  std::optional<int> Finish();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon
