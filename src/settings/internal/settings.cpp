#include "settings/settings.h"

#include <array>
#include <boost/program_options.hpp>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>

namespace persimmon {
namespace options = boost::program_options;
namespace {

constexpr const char* kOperands = "operands";
constexpr const char* kLogLevel = "log-level";
constexpr const char* kSettingsFile = "settings-file";

struct level_name
{
  const char* name;
  log_level level;
};

constexpr std::array kLevelNames = { level_name{ "debug", log_level::debug },
                                     level_name{ "info", log_level::info },
                                     level_name{ "warning", log_level::warning },
                                     level_name{ "error", log_level::error } };

/// Returns the environment variable of a setting: PERSIMMON_STORE_URL for `store-url`.
std::string
EnvironmentVariableOf(const std::string& aName)
{
  std::string variable = "PERSIMMON_";
  for (const char character : aName) {
    variable += character == '-'
                  ? '_'
                  : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
  }
  return variable;
}

struct declared_setting
{
  std::string defaultValue;
  bool required = false;
};

/// Reads a settings file and returns the values by setting. Throws options::error when the file
/// cannot be read or contains an unknown setting or a malformed line, which the message names.
std::map<std::string, std::string>
ParseFile(const std::string& aPath, const options::options_description& aFlags)
{
  std::ifstream file(aPath);
  if (!file) {
    throw options::error(fmt::format("cannot read the settings file {}", aPath));
  }
  std::map<std::string, std::string> values;
  for (const options::option& option : options::parse_config_file(file, aFlags).options) {
    if (!option.value.empty()) {
      values[option.string_key] = option.value.front();
    }
  }
  return values;
}

} // namespace

struct settings::implementation
{
  std::string program;
  std::string summary;
  std::string version;
  /// Usage text of the operands; empty when the program accepts none.
  std::string operandHelp;
  options::options_description flags{ "Settings" };
  std::map<std::string, declared_setting> declared;
  options::variables_map values;
  /// Values of the settings file, by setting.
  std::map<std::string, std::string> fileValues;
  std::vector<std::string> operands;
  /// Messages of the recorded errors.
  std::vector<std::string> errors;
  /// Whether the program was started with --check-settings.
  bool checkOnly = false;

  void Declare(const std::string& aName, const declared_setting& aSetting, const std::string& aHelp)
  {
    std::string help = fmt::format("{} [{}]", aHelp, EnvironmentVariableOf(aName));
    if (aSetting.required) {
      help += " (required)";
    } else if (!aSetting.defaultValue.empty()) {
      help += fmt::format(" (default {})", aSetting.defaultValue);
    }
    flags.add_options()(aName.c_str(), options::value<std::string>(), help.c_str());
    declared[aName] = aSetting;
  }

  void PrintHelp() const
  {
    std::cout << program << ": " << summary << "\n\nUsage: " << program << " [settings]";
    if (!operandHelp.empty()) {
      std::cout << " " << operandHelp;
    }
    std::cout << "\n\n"
              << flags << "\nExit codes: 0 success, 1 failure, 2 wrong settings or usage.\n";
  }

  void ParseFlags(int aCount, const char* const* aArguments)
  {
    options::options_description all;
    all.add(flags);
    options::positional_options_description positional;
    if (!operandHelp.empty()) {
      all.add_options()(kOperands, options::value<std::vector<std::string>>());
      positional.add(kOperands, -1);
    }
    const int style =
      options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
    options::store(options::command_line_parser(aCount, aArguments)
                     .options(all)
                     .positional(positional)
                     .style(style)
                     .run(),
                   values);
    if (values.count(kOperands) != 0) {
      operands = values[kOperands].as<std::vector<std::string>>();
    }
  }
};

settings::settings(std::string aProgram, std::string aSummary, std::string aVersion)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->program = std::move(aProgram);
  mImplementation->summary = std::move(aSummary);
  mImplementation->version = std::move(aVersion);
  mImplementation->flags.add_options()("help", "print this help")("version", "print the version")(
    "check-settings", "check the settings and exit");
}

settings::~settings() = default;

void
settings::Add(const std::string& aName, const std::string& aDefault, const std::string& aHelp)
{
  mImplementation->Declare(aName, { aDefault, false }, aHelp);
}

void
settings::AddRequired(const std::string& aName, const std::string& aHelp)
{
  mImplementation->Declare(aName, { "", true }, aHelp);
}

void
settings::AddLogLevel()
{
  Add(kLogLevel, "info", "lowest level that is logged: debug, info, warning or error");
}

log_level
settings::LogLevel()
{
  const std::string name = Text(kLogLevel);
  for (const level_name& entry : kLevelNames) {
    if (name == entry.name) {
      return entry.level;
    }
  }
  Fail(kLogLevel, "debug, info, warning or error");
  return log_level::info;
}

void
settings::AddSettingsFile()
{
  Add(kSettingsFile, "", "file with lines 'name = value', read at start-up and on SIGHUP");
}

void
settings::AcceptOperands(const std::string& aHelp)
{
  mImplementation->operandHelp = aHelp;
}

std::optional<int>
settings::Parse(int aCount, const char* const* aArguments)
{
  try {
    mImplementation->ParseFlags(aCount, aArguments);
    const bool takesFile = mImplementation->declared.count(kSettingsFile) != 0;
    if (const std::string path = takesFile ? Text(kSettingsFile) : ""; !path.empty()) {
      mImplementation->fileValues = ParseFile(path, mImplementation->flags);
    }
  } catch (const options::error& error) {
    std::cerr << mImplementation->program << ": " << error.what() << " (see --help)\n";
    return exit_usage;
  }
  if (mImplementation->values.count("help") != 0) {
    mImplementation->PrintHelp();
    return exit_success;
  }
  if (mImplementation->values.count("version") != 0) {
    std::cout << mImplementation->program << " " << mImplementation->version << "\n";
    return exit_success;
  }
  mImplementation->checkOnly = mImplementation->values.count("check-settings") != 0;
  for (const auto& [name, setting] : mImplementation->declared) {
    if (setting.required && Text(name).empty()) {
      Fail(name, "a value");
    }
  }
  return std::nullopt;
}

std::string
settings::Text(const std::string& aName)
{
  const auto flag = mImplementation->values.find(aName);
  if (flag != mImplementation->values.end()) {
    return flag->second.as<std::string>();
  }
  const char* variable = std::getenv(EnvironmentVariableOf(aName).c_str());
  if (variable != nullptr) {
    return variable;
  }
  const auto line = mImplementation->fileValues.find(aName);
  return line != mImplementation->fileValues.end() ? line->second
                                                   : mImplementation->declared[aName].defaultValue;
}

std::int64_t
settings::Number(const std::string& aName, std::int64_t aLowest, std::int64_t aHighest)
{
  const std::string text = Text(aName);
  std::int64_t number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool complete = result.ec == std::errc() && result.ptr == text.data() + text.size();
  if (!complete || number < aLowest || number > aHighest) {
    Fail(aName, fmt::format("a whole number from {} to {}", aLowest, aHighest));
    return aLowest;
  }
  return number;
}

double
settings::Double(const std::string& aName, double aLowest, double aHighest)
{
  const std::string text = Text(aName);
  double number = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool complete = result.ec == std::errc() && result.ptr == text.data() + text.size();
  if (!complete || number < aLowest || number > aHighest) {
    Fail(aName, fmt::format("a number from {} to {}", aLowest, aHighest));
    return aLowest;
  }
  return number;
}

bool
settings::Flag(const std::string& aName)
{
  const std::string text = Text(aName);
  if (text != "true" && text != "false") {
    Fail(aName, "true or false");
  }
  return text == "true";
}

std::vector<std::string>
settings::List(const std::string& aName)
{
  const std::string text = Text(aName);
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    if (end > start) {
      parts.push_back(text.substr(start, end - start));
    }
    start = end + 1;
  }
  return parts;
}

const std::vector<std::string>&
settings::Operands() const
{
  return mImplementation->operands;
}

void
settings::Fail(const std::string& aName, const std::string& aExpected)
{
  mImplementation->errors.push_back(fmt::format("--{} (or {}): found \"{}\", expected {}",
                                                aName,
                                                EnvironmentVariableOf(aName),
                                                Text(aName),
                                                aExpected));
}

std::optional<int>
settings::Finish()
{
  for (const std::string& message : mImplementation->errors) {
    std::cerr << mImplementation->program << ": " << message << "\n";
  }
  if (!mImplementation->errors.empty()) {
    return exit_usage;
  }
  if (mImplementation->checkOnly) {
    std::cout << "settings are valid\n";
    return exit_success;
  }
  return std::nullopt;
}

} // namespace persimmon
