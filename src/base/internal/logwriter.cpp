#include "base/logwriter.h"

#include "base/logevents.h"

#include <condition_variable>
#include <deque>
#include <fmt/format.h>
#include <mutex>
#include <thread>
#include <vector>

namespace persimmon {
namespace {

/// Time that the thread collects further lines after the first, to write them as one batch.
constexpr std::chrono::milliseconds kBatchDelay{ 20 };

struct queued_line
{
  log_level level = log_level::info;
  std::string text;
  /// Number of further lines with the same text.
  std::uint64_t repeats = 0;
};

} // namespace

struct log_writer::implementation
{
  sink output;
  std::size_t capacity;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<queued_line> queue;
  std::uint64_t dropped = 0;
  /// Part of `dropped` that kLogLinesDropped lines have reported.
  std::uint64_t droppedReported = 0;
  bool stopping = false;
  std::thread thread;

  void Run();
  /// Waits until a line is queued or the writer is stopping, and removes all lines from the queue.
  /// Adds a kLogLinesDropped line when lines were dropped since the last batch.
  std::vector<queued_line> TakeBatch();
};

std::vector<queued_line>
log_writer::implementation::TakeBatch()
{
  std::unique_lock lock(mutex);
  changed.wait(lock, [this] { return stopping || !queue.empty(); });
  if (!stopping) {
    changed.wait_for(lock, kBatchDelay, [this] { return stopping; });
  }
  std::vector<queued_line> batch(std::make_move_iterator(queue.begin()),
                                 std::make_move_iterator(queue.end()));
  queue.clear();
  if (dropped > droppedReported) {
    const std::string count = std::to_string(dropped - droppedReported);
    batch.push_back(
      { kLogLinesDropped.level, FormatLog(kLogLinesDropped, { { "count", count } }), 0 });
    droppedReported = dropped;
  }
  return batch;
}

void
log_writer::implementation::Run()
{
  bool isLastBatch = false;
  while (!isLastBatch) {
    {
      const std::lock_guard lock(mutex);
      isLastBatch = stopping;
    }
    for (const queued_line& line : TakeBatch()) {
      output(line.level,
             line.repeats == 0 ? line.text
                               : fmt::format("{} repeated={}", line.text, line.repeats));
    }
  }
}

log_writer::log_writer(sink aSink, std::size_t aCapacity)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->output = std::move(aSink);
  mImplementation->capacity = aCapacity;
  mImplementation->thread = std::thread([self = mImplementation.get()] { self->Run(); });
}

log_writer::~log_writer()
{
  {
    const std::lock_guard lock(mImplementation->mutex);
    mImplementation->stopping = true;
  }
  mImplementation->changed.notify_all();
  mImplementation->thread.join();
}

void
log_writer::Write(log_level aLevel, std::string aLine)
{
  implementation& self = *mImplementation;
  bool wasEmpty = false;
  {
    const std::lock_guard lock(self.mutex);
    if (!self.queue.empty() && self.queue.back().text == aLine) {
      ++self.queue.back().repeats;
      return;
    }
    if (self.queue.size() >= self.capacity) {
      ++self.dropped;
      return;
    }
    wasEmpty = self.queue.empty();
    self.queue.push_back({ aLevel, std::move(aLine), 0 });
  }
  if (wasEmpty) {
    self.changed.notify_one();
  }
}

std::uint64_t
log_writer::Dropped() const
{
  const std::lock_guard lock(mImplementation->mutex);
  return mImplementation->dropped;
}

} // namespace persimmon
