#include "check/checkreport.h"
#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

// clang-format off
TEST_GROUP(check_report){};
// clang-format on

TEST(check_report, EmptyHistoryProvesNothing)
{
  const auto verdicts = CheckAll(MadeHistory(""), check_options{});
  CHECK_EQUAL(kPromises.size(), verdicts.size());
  CHECK_FALSE(IsProven(verdicts, {}));
  STRCMP_CONTAINS("TOO FEW CHECKED", RenderVerdicts(verdicts, {}).c_str());
}

TEST(check_report, PromiseMayBeExcusedOrHeldToMore)
{
  const std::vector<verdict> verdicts = { { promise::at_most_once, 3, {} } };
  CHECK(IsProven(verdicts, {}));
  CHECK_FALSE(IsProven(verdicts, { { promise::at_most_once, 4 } }));
  CHECK(IsProven({ { promise::at_most_once, 0, {} } }, { { promise::at_most_once, 0 } }));
}

TEST(check_report, ViolationNamesPromiseFileAndLine)
{
  const run_history history = MadeHistory(R"({"kind":"leaving","at":1}
{"kind":"started","at":3,"attempt":"a"}
)");
  const std::vector<verdict> verdicts = { CheckCompleteHistory(history) };
  CHECK_FALSE(IsProven(verdicts, {}));
  const std::string text = RenderVerdicts(verdicts, {});
  STRCMP_CONTAINS("VIOLATION complete-history: attempt \"a\" was run", text.c_str());
  STRCMP_CONTAINS("  made:2: {", text.c_str());
}

TEST(check_report, NamesOfPromisesAreParsed)
{
  for (const promise subject : kPromises) {
    CHECK(ParsePromise(PromiseName(subject)) == subject);
  }
  CHECK_FALSE(ParsePromise("luck").has_value());
}
