#include "settings/settingsfilewatch.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace persimmon;

namespace {

using namespace std::chrono_literals;

constexpr duration kInterval = 20_ms;
constexpr std::chrono::milliseconds kSeveralIntervals{ 200 };

} // namespace

// clang-format off
TEST_GROUP(settings_file_watch)
{
  std::string path;
  std::atomic<int> changes = 0;

  void setup() override
  {
    char name[] = "/tmp/settings-watch-XXXXXX";
    close(mkstemp(name));
    path = name;
  }
  void teardown() override { std::remove(path.c_str()); }

  void Write(const std::string& aText) const { std::ofstream(path) << aText; }

  void ExpectChanges(int aCount) const
  {
    for (int i = 0; i < 200 && changes < aCount; ++i) {
      std::this_thread::sleep_for(10ms);
    }
    std::this_thread::sleep_for(kSeveralIntervals);
    LONGS_EQUAL(aCount, changes);
  }
};
// clang-format on

// Guards against a file that changes without a signal and is not read again, or again and again.
TEST(settings_file_watch, EachChangeOfTheTextIsReportedOnce)
{
  Write("a = 1");
  const settings_file_watch watch(path, kInterval, [this] { ++changes; });
  ExpectChanges(0);
  Write("a = 2");
  ExpectChanges(1);
  // Written again with the same text, as each start of the platform does.
  Write("a = 2");
  ExpectChanges(1);
  Write("a = 1");
  ExpectChanges(2);
}

// Guards against settings that are lost since their file is away for a moment.
TEST(settings_file_watch, FileThatIsAwayIsNoChange)
{
  Write("a = 1");
  const settings_file_watch watch(path, kInterval, [this] { ++changes; });
  std::remove(path.c_str());
  ExpectChanges(0);
  Write("a = 1");
  ExpectChanges(0);
  Write("a = 3");
  ExpectChanges(1);
}

TEST(settings_file_watch, NoFileIsNotWatched)
{
  const settings_file_watch watch("", kInterval, [this] { ++changes; });
  ExpectChanges(0);
}

// Guards against settings that are lost since the writer of their file pauses between emptying and
// filling it.
TEST(settings_file_watch, FileThatIsBeingWrittenIsNoChange)
{
  Write("a = 1");
  const settings_file_watch watch(path, kInterval, [this] { ++changes; });
  Write("");
  ExpectChanges(0);
  Write("a = 1");
  ExpectChanges(0);
}
