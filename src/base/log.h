#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace persimmon {

enum class log_level
{
  debug,
  info,
  warning,
  error
};

/// A kind of log line, identified by its number. Each module declares its events in its own range
/// of a thousand numbers; docs/EVENTS.md is the catalogue.
struct log_event
{
  int number = 0;
  std::string_view name;
  log_level level = log_level::info;
};

/// A key and value of a log line.
struct log_field
{
  std::string_view key;
  std::string value;
};

/// Configures logging to standard output. Each line contains aProcess; events below aLowest are not
/// written. Call once, before any other function of this header.
void
StartLog(std::string_view aProcess, log_level aLowest);

/// Starts a thread that writes all further lines, so that WriteLog() never blocks on the output. At
/// most aCapacity lines are queued; further lines are dropped and counted. Call StopLogThread()
/// before the process exits.
void
StartLogThread(std::size_t aCapacity);

/// Writes the queued lines and ends the thread.
void
StopLogThread();

/// Returns the number of lines dropped because the queue was full; 0 without a log thread.
std::uint64_t
DroppedLogLines();

/// Writes one line `event=NUMBER name=NAME key=value ...`. Values that are empty or contain
/// whitespace, quotes or `=` are quoted.
void
WriteLog(const log_event& aEvent, std::initializer_list<log_field> aFields);

/// Returns the line that WriteLog() writes, without time stamp, level and process.
std::string
FormatLog(const log_event& aEvent, std::initializer_list<log_field> aFields);

} // namespace persimmon
