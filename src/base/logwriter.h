#pragma once

#include "base/log.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmon {

/// Passes log lines to a sink on its own thread, so that Write() never blocks on the sink. When the
/// queue is full, further lines are dropped and counted; the count is logged as kLogLinesDropped
/// with the next batch. A line equal to the last queued line only increments the `repeated` count
/// of that line.
class log_writer
{
public:
  using sink = std::function<void(log_level aLevel, const std::string& aLine)>;

  /// aCapacity is the maximum number of queued lines.
  log_writer(sink aSink, std::size_t aCapacity);
  /// Passes the queued lines to the sink and ends the thread.
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  void Write(log_level aLevel, std::string aLine);
  /// Returns the number of lines dropped since construction.
  [[nodiscard]] std::uint64_t Dropped() const;

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace persimmon
