#include "check/tests/madehistory.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon::check;

namespace {

const std::string kDispatched = R"({"kind":"invoked","at":1,"call":"1.1"}
{"kind":"attempted","at":2,"request":"r","attempt":"a"}
)";

} // namespace

// clang-format off
TEST_GROUP(truthful_refusals){};
// clang-format on

TEST(truthful_refusals, RefusalOfWhatWasNeverRunHolds)
{
  const verdict found = CheckTruthfulRefusals(MadeHistory(
    kDispatched + R"({"kind":"refused","at":5,"call":"1.1","request":"r","ran":"no"})"));
  CHECK_EQUAL(1, found.checked);
  CHECK(found.violations.empty());
}

TEST(truthful_refusals, ExecutionOfTheRequestIsFoundWheneverItBegan)
{
  const verdict found = CheckTruthfulRefusals(
    MadeHistory(kDispatched + R"({"kind":"refused","at":5,"call":"1.1","request":"r","ran":"no"}
{"kind":"started","at":9000,"attempt":"a"})"));
  CHECK_EQUAL(1, found.violations.size());
  CHECK_EQUAL(4, found.violations[0].events.size());
}

TEST(truthful_refusals, UnknownMayHaveRun)
{
  const verdict found =
    CheckTruthfulRefusals(MadeHistory(kDispatched + R"({"kind":"started","at":3,"attempt":"a"}
{"kind":"refused","at":5,"call":"1.1","request":"r","ran":"unknown"})"));
  CHECK_EQUAL(0, found.checked);
  CHECK(found.violations.empty());
}

TEST(truthful_refusals, ClaimOnThisCallAloneIsHeldToThisCall)
{
  const verdict found =
    CheckTruthfulRefusals(MadeHistory(kDispatched + R"({"kind":"started","at":3,"attempt":"a"}
{"kind":"refused","at":5,"call":"1.1","request":"r","ran":"unknown","attempt_ran":"no"})"));
  CHECK_EQUAL(1, found.violations.size());
}

TEST(truthful_refusals, EarlierExecutionUnderTheKeyIsFoundAndALaterOneHolds)
{
  const std::string execution =
    R"({"kind":"attempted","at":10,"request":"r","attempt":"a","key":"k"}
{"kind":"started","at":11,"attempt":"a"}
)";
  const std::string late = R"({"kind":"invoked","at":20,"call":"1.2"}
{"kind":"refused","at":21,"call":"1.2","request":"s","key":"k","ran":"no"}
)";
  const std::string early = R"({"kind":"invoked","at":1,"call":"1.1"}
{"kind":"refused","at":2,"call":"1.1","request":"s","key":"k","ran":"no"}
)";
  CHECK_EQUAL(1, CheckTruthfulRefusals(MadeHistory(execution + late)).violations.size());
  CHECK(CheckTruthfulRefusals(MadeHistory(early + execution)).violations.empty());
}
