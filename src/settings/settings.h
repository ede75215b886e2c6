#pragma once

#include "base/log.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmon {

/// Exit codes of all programs.
enum exit_code : int
{
  exit_success = 0,
  exit_failure = 1,
  /// The command line, an environment variable or a setting's value is invalid.
  exit_usage = 2
};

/// The settings of a program, read from flags, environment variables and, if AddSettingsFile() was
/// called, a settings file. The flag `--store-url` overrides the variable PERSIMMON_STORE_URL,
/// which overrides the line `store-url = ...` of the file, which overrides the default. All
/// programs also accept --help, --version and --check-settings.
///
/// Order of use: declare the settings, call Parse(), read the values, call Finish(). Functions that
/// read a value record an error when it is invalid; Finish() prints all of them.
class settings
{
public:
  settings(std::string aProgram, std::string aSummary, std::string aVersion);
  ~settings();

  /// Declares an optional setting.
  void Add(const std::string& aName, const std::string& aDefault, const std::string& aHelp);
  /// Declares a required setting; an empty value is an error.
  void AddRequired(const std::string& aName, const std::string& aHelp);
  /// Declares the setting `log-level`.
  void AddLogLevel();
  /// Declares the setting `settings-file`, the path of a file with lines `name = value`.
  void AddSettingsFile();
  /// Accepts operands: arguments that belong to no flag, such as a command and a file name. aHelp
  /// is shown in the usage line.
  void AcceptOperands(const std::string& aHelp);

  /// Reads the command line and the settings file. Returns an exit code when the program must exit
  /// now: after --help, after --version or on a usage error.
  std::optional<int> Parse(int aCount, const char* const* aArguments);

  /// Returns the value as a string.
  [[nodiscard]] std::string Text(const std::string& aName);
  /// Returns an integer in [aLowest, aHighest]; on an error, records it and returns aLowest.
  [[nodiscard]] std::int64_t Number(const std::string& aName,
                                    std::int64_t aLowest,
                                    std::int64_t aHighest);
  /// Returns a floating-point number in [aLowest, aHighest]; on an error, records it and returns
  /// aLowest.
  [[nodiscard]] double Double(const std::string& aName, double aLowest, double aHighest);
  /// Returns a boolean; any value but `true` and `false` is an error.
  [[nodiscard]] bool Flag(const std::string& aName);
  /// Returns the value of `log-level`.
  [[nodiscard]] log_level LogLevel();
  /// Returns the non-empty elements of a comma-separated list.
  [[nodiscard]] std::vector<std::string> List(const std::string& aName);
  /// Returns the operands in the order of the command line.
  [[nodiscard]] const std::vector<std::string>& Operands() const;

  /// Records that the value of a setting is invalid; the message names the flag, the environment
  /// variable, the value and aExpected.
  void Fail(const std::string& aName, const std::string& aExpected);
  /// Prints all recorded errors, or the result of --check-settings. Returns an exit code when the
  /// program must exit now.
  std::optional<int> Finish();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon
