#pragma once

#include "history/event.h"

#include <memory>
#include <string>

namespace persimmon::history {

/// Appends events to a file, each line written whole and at once so that a killed process loses
/// none it has reported. Safe for use by several threads. Without a path it does nothing.
class history_writer
{
public:
  /// aPath may be empty; aProcess is written into each event.
  history_writer(const std::string& aPath, std::string aProcess);
  ~history_writer();

  /// Stamps the event with the time and the process and appends it.
  void Write(event aEvent);
  /// Returns whether the file could be opened (or none was asked for).
  [[nodiscard]] bool IsReady() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon::history
