#include "check/historyreader.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

// clang-format off
TEST_GROUP(history_reader)
{
  std::vector<recorded_event> events;
  std::string problem;
};
// clang-format on

TEST(history_reader, LineCutShortByAKilledProcessIsPassedOver)
{
  CHECK(ReadHistory("{\"kind\":\"leaving\",\"at\":1}\n{\"kind\":\"lea", "a", events, problem));
  CHECK_EQUAL(1, events.size());
}

TEST(history_reader, LastLineMayLackItsLineFeed)
{
  CHECK(ReadHistory("{\"kind\":\"leaving\",\"at\":1}", "a", events, problem));
  CHECK_EQUAL(1, events.size());
}

TEST(history_reader, OtherUnreadableLineIsNamed)
{
  const bool readable =
    ReadHistory("{\"kind\":\"leaving\",\"at\":1}\n{\"kind\":\"lea\n", "a", events, problem);
  CHECK_FALSE(readable);
  STRCMP_CONTAINS("a:2: ", problem.c_str());
}

TEST(history_reader, FilesAreMergedByTimeAndKeepTheirOrder)
{
  CHECK(ReadHistory("{\"kind\":\"leaving\",\"at\":5}\n", "late", events, problem));
  CHECK(ReadHistory(
    "{\"kind\":\"leaving\",\"at\":1}\n{\"kind\":\"fault\",\"at\":1}\n", "early", events, problem));
  SortByTime(events);
  STRCMP_EQUAL("early", events[0].file.c_str());
  CHECK_EQUAL(2, events[1].line);
  STRCMP_EQUAL("late", events[2].file.c_str());
}
