#include "base/log.h"

#include "base/logwriter.h"

#include <easylogging++.h>
#include <fmt/format.h>
#include <memory>

INITIALIZE_EASYLOGGINGPP

namespace persimmon {
namespace {

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || aValue.find_first_of(" \"=\n\t\r") != std::string_view::npos;
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  aLine += '"';
  for (const char character : aValue) {
    if (character == '"' || character == '\\') {
      aLine += '\\';
    }
    aLine += (character == '\n' || character == '\r') ? ' ' : character;
  }
  aLine += '"';
}

/// Lowest level that is written.
log_level&
MinimumLevel()
{
  static log_level level = log_level::debug;
  return level;
}

/// The writer on the log thread; null when lines are written by the calling thread.
std::unique_ptr<log_writer>&
Writer()
{
  static std::unique_ptr<log_writer> writer;
  return writer;
}

void
WriteLine(log_level aLevel, const std::string& aLine)
{
  switch (aLevel) {
    case log_level::debug:
      LOG(DEBUG) << aLine;
      break;
    case log_level::info:
      LOG(INFO) << aLine;
      break;
    case log_level::warning:
      LOG(WARNING) << aLine;
      break;
    case log_level::error:
      LOG(ERROR) << aLine;
      break;
  }
}

void
SetEnabled(el::Configurations& aConfiguration, el::Level aLevel, bool aEnabled)
{
  aConfiguration.set(aLevel, el::ConfigurationType::Enabled, aEnabled ? "true" : "false");
}

} // namespace

void
StartLog(std::string_view aProcess, log_level aLowest)
{
  MinimumLevel() = aLowest;
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
    el::ConfigurationType::Format,
    fmt::format("%datetime{{%Y-%M-%dT%H:%m:%s.%g}} %level {} %msg", aProcess));
  SetEnabled(configuration, el::Level::Debug, aLowest <= log_level::debug);
  SetEnabled(configuration, el::Level::Info, aLowest <= log_level::info);
  SetEnabled(configuration, el::Level::Warning, aLowest <= log_level::warning);
  el::Loggers::reconfigureLogger("default", configuration);
}

std::string
FormatLog(const log_event& aEvent, std::initializer_list<log_field> aFields)
{
  std::string line = fmt::format("event={} name={}", aEvent.number, aEvent.name);
  for (const log_field& field : aFields) {
    line += ' ';
    line += field.key;
    line += '=';
    if (NeedsQuotes(field.value)) {
      AppendQuoted(line, field.value);
    } else {
      line += field.value;
    }
  }
  return line;
}

void
StartLogThread(std::size_t aCapacity)
{
  Writer() = std::make_unique<log_writer>(WriteLine, aCapacity);
}

void
StopLogThread()
{
  Writer().reset();
}

std::uint64_t
DroppedLogLines()
{
  return Writer() ? Writer()->Dropped() : 0;
}

void
WriteLog(const log_event& aEvent, std::initializer_list<log_field> aFields)
{
  if (aEvent.level < MinimumLevel()) {
    return;
  }
  std::string line = FormatLog(aEvent, aFields);
  if (Writer()) {
    Writer()->Write(aEvent.level, std::move(line));
  } else {
    WriteLine(aEvent.level, line);
  }
}

} // namespace persimmon
