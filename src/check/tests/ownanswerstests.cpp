#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

namespace {

const std::string kRun = R"({"kind":"invoked","at":1,"call":"1.1","digest":"body"}
{"kind":"attempted","at":2,"request":"r","attempt":"a"}
{"kind":"started","at":3,"attempt":"a","digest":"body"}
{"kind":"completed","at":4,"attempt":"a","digest":"whole"}
)";

} // namespace

// clang-format off
TEST_GROUP(own_answers){};
// clang-format on

TEST(own_answers, WholeAnswerOfTheRequestHolds)
{
  const verdict found = CheckOwnAnswers(MadeHistory(
    kRun + R"({"kind":"answered","at":5,"call":"1.1","request":"r","digest":"whole"})"));
  CHECK_EQUAL(1, found.checked);
  CHECK(found.violations.empty());
}

TEST(own_answers, FragmentIsFound)
{
  const verdict found = CheckOwnAnswers(
    MadeHistory(kRun + R"({"kind":"answered","at":5,"call":"1.1","request":"r","digest":"part"})"));
  CHECK_EQUAL(1, found.violations.size());
}

TEST(own_answers, AnswerOfAnotherRequestIsFound)
{
  const verdict found =
    CheckOwnAnswers(MadeHistory(kRun + R"({"kind":"attempted","at":2,"request":"s","attempt":"b"}
{"kind":"completed","at":4,"attempt":"b","digest":"theirs"}
{"kind":"answered","at":5,"call":"1.1","request":"r","digest":"theirs"})"));
  CHECK_EQUAL(1, found.violations.size());
}

TEST(own_answers, ExecutionOfAnotherBodyIsFound)
{
  const verdict found =
    CheckOwnAnswers(MadeHistory(kRun + R"({"kind":"invoked","at":5,"call":"2.1","digest":"other"}
{"kind":"answered","at":6,"call":"2.1","request":"r","digest":"whole"})"));
  CHECK_EQUAL(1, found.violations.size());
}

TEST(own_answers, RepeatUnderTheSameKeyMayGetTheEarlierAnswer)
{
  const verdict found = CheckOwnAnswers(MadeHistory(
    R"({"kind":"attempted","at":2,"request":"r","attempt":"a","key":"k"}
{"kind":"completed","at":4,"attempt":"a","digest":"whole"}
{"kind":"invoked","at":5,"call":"1.2","key":"k"}
{"kind":"answered","at":6,"call":"1.2","request":"other","key":"k","digest":"whole"})"));
  CHECK_EQUAL(1, found.checked);
  CHECK(found.violations.empty());
}

TEST(own_answers, AnswerWithoutAnyExecutionIsFound)
{
  const verdict found = CheckOwnAnswers(MadeHistory(R"({"kind":"invoked","at":5,"call":"1.1"}
{"kind":"answered","at":6,"call":"1.1","request":"r","digest":"whole"})"));
  CHECK_EQUAL(1, found.violations.size());
}
