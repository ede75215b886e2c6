#pragma once

#include "base/log.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmon {

/// Hands log lines to a sink on a thread of its own, so that whoever logs never waits for it. When
/// the sink is slow, lines beyond the capacity are dropped and counted, and the count is told once
/// there is room again. A line that repeats the one before is folded into a count.
class log_writer
{
public:
  using sink = std::function<void(log_level aLevel, const std::string& aLine)>;

  /// aCapacity is the number of lines that may wait.
  log_writer(sink aSink, std::size_t aCapacity);
  /// Hands over what waits, and ends.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  void Write(log_level aLevel, std::string aLine);
  /// Lines that were dropped since the start.
  [[nodiscard]] std::uint64_t Dropped() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon
