#include "base/logwriter.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <future>
#include <mutex>
#include <vector>

using namespace persimmon;

namespace {

constexpr std::size_t kCapacity = 10;

/// Collects lines; may be made to stop reading.
struct slow_reader
{
  std::mutex mutex;
  std::vector<std::string> lines;
  std::promise<void> release;
  std::shared_future<void> released{ release.get_future().share() };
  bool stops = false;

  void Take(const std::string& aLine)
  {
    if (stops) {
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
  slow_reader reader;

  void Write(int aCount)
  {
    log_writer writer([this](log_level, const std::string& aLine) { reader.Take(aLine); }, kCapacity);
    for (int i = 0; i < aCount; ++i) {
      writer.Write(log_level::info, "line " + std::to_string(i));
    }
  }
};
// clang-format on

TEST(log_writer, LinesComeInOrderAndNoneIsLostAtTheEnd)
{
  Write(5);
  UNSIGNED_LONGS_EQUAL(5, reader.lines.size());
  STRCMP_EQUAL("line 0", reader.lines.front().c_str());
  STRCMP_EQUAL("line 4", reader.lines.back().c_str());
}

TEST(log_writer, ReaderThatStopsHoldsNobodyUpAndLostLinesAreTold)
{
  reader.stops = true;
  {
    log_writer writer([this](log_level, const std::string& aLine) { reader.Take(aLine); },
                      kCapacity);
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < 100000; ++i) {
      writer.Write(log_level::info, "line " + std::to_string(i));
    }
    const auto span = std::chrono::steady_clock::now() - begun;
    CHECK(span < std::chrono::seconds(2));
    CHECK(writer.Dropped() >= 100000 - 3 * kCapacity);
    reader.release.set_value();
  }
  CHECK(reader.lines.size() <= 3 * kCapacity);
  bool told = false;
  for (const std::string& line : reader.lines) {
    told = told || line.find("log_lines_dropped") != std::string::npos;
  }
  CHECK(told);
}

TEST(log_writer, RepeatsAreFoldedIntoACount)
{
  {
    log_writer writer([this](log_level, const std::string& aLine) { reader.Take(aLine); },
                      kCapacity);
    for (int i = 0; i < 1000; ++i) {
      writer.Write(log_level::info, "the same");
    }
    UNSIGNED_LONGS_EQUAL(0, writer.Dropped());
  }
  CHECK(reader.lines.size() < 100);
  CHECK(reader.lines.front().find("repeated=") != std::string::npos);
}
