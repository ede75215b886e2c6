#include "base/logwriter.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <future>
#include <mutex>
#include <vector>

using namespace persimmon;

namespace {

constexpr std::size_t kCapacity = 10;

/// A sink that collects lines; it blocks until `release` is set when `blocks` is true.
struct blocking_sink
{
  std::mutex mutex;
  std::vector<std::string> lines;
  std::promise<void> release;
  std::shared_future<void> released{ release.get_future().share() };
  bool blocks = false;

  void Receive(const std::string& aLine)
  {
    if (blocks) {
      released.wait();
    }
    const std::lock_guard lock(mutex);
    lines.push_back(aLine);
  }
};

} // namespace

// clang-format off
TEST_GROUP(log_writer)
{
  blocking_sink sink;

  void Write(int aCount)
  {
    log_writer writer([this](log_level, const std::string& aLine) { sink.Receive(aLine); },
                      kCapacity);
    for (int i = 0; i < aCount; ++i) {
      writer.Write(log_level::info, "line " + std::to_string(i));
    }
  }
};
// clang-format on

TEST(log_writer, DestructorWritesAllQueuedLinesInOrder)
{
  Write(5);
  UNSIGNED_LONGS_EQUAL(5, sink.lines.size());
  STRCMP_EQUAL("line 0", sink.lines.front().c_str());
  STRCMP_EQUAL("line 4", sink.lines.back().c_str());
}

TEST(log_writer, BlockedSinkDoesNotBlockWritersAndDroppedLinesAreReported)
{
  sink.blocks = true;
  {
    log_writer writer([this](log_level, const std::string& aLine) { sink.Receive(aLine); },
                      kCapacity);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 100000; ++i) {
      writer.Write(log_level::info, "line " + std::to_string(i));
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(elapsed < std::chrono::seconds(2));
    CHECK(writer.Dropped() >= 100000 - 3 * kCapacity);
    sink.release.set_value();
  }
  CHECK(sink.lines.size() <= 3 * kCapacity);
  bool reported = false;
  for (const std::string& line : sink.lines) {
    reported = reported || line.find("log_lines_dropped") != std::string::npos;
  }
  CHECK(reported);
}

TEST(log_writer, RepeatedLinesAreCombinedWithACount)
{
  {
    log_writer writer([this](log_level, const std::string& aLine) { sink.Receive(aLine); },
                      kCapacity);
    for (int i = 0; i < 1000; ++i) {
      writer.Write(log_level::info, "the same");
    }
    UNSIGNED_LONGS_EQUAL(0, writer.Dropped());
  }
  CHECK(sink.lines.size() < 100);
  CHECK(sink.lines.front().find("repeated=") != std::string::npos);
}
