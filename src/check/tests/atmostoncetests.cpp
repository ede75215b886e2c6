#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

namespace {

const std::string kFirst =
  R"({"kind":"attempted","at":1,"request":"r","attempt":"a","key":"k","once":true}
{"kind":"started","at":2,"attempt":"a"}
)";

} // namespace

// clang-format off
TEST_GROUP(at_most_once){};
// clang-format on

TEST(at_most_once, OneExecutionHoldsWhateverElseWasTried)
{
  const verdict found = CheckAtMostOnce(MadeHistory(
    kFirst + R"({"kind":"attempted","at":5,"request":"s","attempt":"b","key":"k","once":true})"));
  CHECK_EQUAL(1, found.checked);
  CHECK(found.violations.empty());
}

TEST(at_most_once, SecondAttemptThatRunsIsFound)
{
  const verdict found = CheckAtMostOnce(MadeHistory(
    kFirst + R"({"kind":"attempted","at":5,"request":"s","attempt":"b","key":"k","once":true}
{"kind":"started","at":6,"attempt":"b"})"));
  CHECK_EQUAL(1, found.violations.size());
  CHECK_EQUAL(2, found.violations[0].events.size());
}

TEST(at_most_once, AttemptThatRunsTwiceIsFound)
{
  const verdict found =
    CheckAtMostOnce(MadeHistory(kFirst + R"({"kind":"started","at":6,"attempt":"a"})"));
  CHECK_EQUAL(1, found.violations.size());
}

TEST(at_most_once, ExecutionThatOnlyTheUpstreamKnowsIsFound)
{
  const verdict found =
    CheckAtMostOnce(MadeHistory(kFirst + R"({"kind":"started","at":6,"attempt":"b","key":"k"})"));
  CHECK_EQUAL(1, found.violations.size());
}
