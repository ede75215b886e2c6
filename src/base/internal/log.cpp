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
  for (const char letter : aValue) {
    if (letter == '"' || letter == '\\') {
      aLine += '\\';
    }
    aLine += (letter == '\n' || letter == '\r') ? ' ' : letter;
  }
  aLine += '"';
}

/// Lowest level that is written.
log_level&
Lowest()
{
  static log_level lowest = log_level::debug;
  return lowest;
}

std::unique_ptr<log_writer>&
Writer()
{
  static std::unique_ptr<log_writer> writer;
  return writer;
}

void
Put(log_level aLevel, const std::string& aLine)
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
Enable(el::Configurations& aConfiguration, el::Level aLevel, bool aOn)
{
  aConfiguration.set(aLevel, el::ConfigurationType::Enabled, aOn ? "true" : "false");
}

} // namespace

void
StartLog(std::string_view aProcess, log_level aLowest)
{
  Lowest() = aLowest;
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
    el::ConfigurationType::Format,
    fmt::format("%datetime{{%Y-%M-%dT%H:%m:%s.%g}} %level {} %msg", aProcess));
  Enable(configuration, el::Level::Debug, aLowest <= log_level::debug);
  Enable(configuration, el::Level::Info, aLowest <= log_level::info);
  Enable(configuration, el::Level::Warning, aLowest <= log_level::warning);
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
  Writer() = std::make_unique<log_writer>(Put, aCapacity);
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
  if (aEvent.level < Lowest()) {
    return;
  }
  std::string line = FormatLog(aEvent, aFields);
  if (Writer()) {
    Writer()->Write(aEvent.level, std::move(line));
  } else {
    Put(aEvent.level, line);
  }
}

} // namespace persimmon
