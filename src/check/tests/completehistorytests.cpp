#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

// clang-format off
TEST_GROUP(complete_history){};
// clang-format on

TEST(complete_history, RecordedDispatchAndEndHold)
{
  const verdict found = CheckCompleteHistory(MadeHistory(R"({"kind":"invoked","at":1,"call":"1.1"}
{"kind":"attempted","at":2,"request":"r","attempt":"a"}
{"kind":"started","at":3,"attempt":"a"}
{"kind":"answered","at":4,"call":"1.1","request":"r"}
)"));
  CHECK_EQUAL(2, found.checked);
  CHECK(found.violations.empty());
}

TEST(complete_history, ExecutionWithoutDispatchIsFound)
{
  const verdict found =
    CheckCompleteHistory(MadeHistory(R"({"kind":"started","at":3,"attempt":"a"})"));
  CHECK_EQUAL(1, found.violations.size());
}

TEST(complete_history, CallThatEndsTwiceOrNeverBeganIsFound)
{
  const verdict found = CheckCompleteHistory(MadeHistory(R"({"kind":"invoked","at":1,"call":"1.1"}
{"kind":"answered","at":4,"call":"1.1"}
{"kind":"refused","at":5,"call":"1.1"}
{"kind":"answered","at":6,"call":"2.1"}
)"));
  CHECK_EQUAL(2, found.violations.size());
}

TEST(complete_history, TwoDispatchesUnderOneAttemptIdAreFound)
{
  const verdict found =
    CheckCompleteHistory(MadeHistory(R"({"kind":"attempted","at":2,"request":"r","attempt":"a"}
{"kind":"attempted","at":3,"request":"s","attempt":"a"}
)"));
  CHECK_EQUAL(1, found.violations.size());
}
