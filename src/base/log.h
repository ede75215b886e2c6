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

/// A kind of log line. Each module declares its events in a thousand of its own; docs/EVENTS.md
/// is the catalogue.
struct log_event
{
  int number = 0;
  std::string_view name;
  log_level level = log_level::info;
};

struct log_field
{
  std::string_view key;
  std::string value;
};

/// Sets up logging to standard output; aProcess names the process in each line. Call once, first.
void
StartLog(std::string_view aProcess, log_level aLowest);

/// Lets a thread of its own write all further lines, at most aCapacity of which wait; whoever logs
/// never waits. Call StopLogThread() before the end of the process.
void
StartLogThread(std::size_t aCapacity);

/// Writes what waits and ends the thread.
void
StopLogThread();

/// Lines that were dropped because the thread could not keep up.
std::uint64_t
DroppedLogLines();

/// Writes one line `event=NUMBER name=NAME key=value ...`; values with spaces are quoted.
void
WriteLog(const log_event& aEvent, std::initializer_list<log_field> aFields);

/// Returns the text of such a line without its time stamp.
std::string
FormatLog(const log_event& aEvent, std::initializer_list<log_field> aFields);

} // namespace persimmon
