#include "base/log.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;

// clang-format off
TEST_GROUP(log){};
// clang-format on

TEST(log, QuotesEmptyValuesAndValuesWithSpacesQuotesOrLineBreaks)
{
  const log_event event{ 7, "test.event", log_level::info };
  STRCMP_EQUAL(
    "event=7 name=test.event plain=a quoted=\"b c\\\"d e\" empty=\"\"",
    FormatLog(event, { { "plain", "a" }, { "quoted", "b c\"d\ne" }, { "empty", "" } }).c_str());
}
