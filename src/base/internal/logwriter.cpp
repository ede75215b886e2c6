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

/// Lines that come within this time are handed over together.
constexpr std::chrono::milliseconds kBatchTime{ 20 };

struct waiting_line
{
  log_level level = log_level::info;
  std::string text;
  std::uint64_t repeats = 0;
};

} // namespace

struct log_writer::implementation
{
  sink out;
  std::size_t capacity;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<waiting_line> waiting;
  std::uint64_t dropped = 0;
  std::uint64_t droppedTold = 0;
  bool stopping = false;
  std::thread thread;

  void Run();
  std::vector<waiting_line> Take();
};

std::vector<waiting_line>
log_writer::implementation::Take()
{
  std::unique_lock lock(mutex);
  changed.wait(lock, [this] { return stopping || !waiting.empty(); });
  if (!stopping) {
    changed.wait_for(lock, kBatchTime, [this] { return stopping; });
  }
  std::vector<waiting_line> taken(std::make_move_iterator(waiting.begin()),
                                  std::make_move_iterator(waiting.end()));
  waiting.clear();
  if (dropped > droppedTold) {
    const std::string count = std::to_string(dropped - droppedTold);
    taken.push_back(
      { kLogLinesDropped.level, FormatLog(kLogLinesDropped, { { "count", count } }), 0 });
    droppedTold = dropped;
  }
  return taken;
}

void
log_writer::implementation::Run()
{
  bool last = false;
  while (!last) {
    {
      const std::lock_guard lock(mutex);
      last = stopping;
    }
    for (const waiting_line& line : Take()) {
      out(line.level,
          line.repeats == 0 ? line.text : fmt::format("{} repeated={}", line.text, line.repeats));
    }
  }
}

log_writer::log_writer(sink aSink, std::size_t aCapacity)
  : mImplementation(std::make_unique<implementation>())
{
  mImplementation->out = std::move(aSink);
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
  bool first = false;
  {
    const std::lock_guard lock(self.mutex);
    if (!self.waiting.empty() && self.waiting.back().text == aLine) {
      ++self.waiting.back().repeats;
      return;
    }
    if (self.waiting.size() >= self.capacity) {
      ++self.dropped;
      return;
    }
    first = self.waiting.empty();
    self.waiting.push_back({ aLevel, std::move(aLine), 0 });
  }
  if (first) {
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
