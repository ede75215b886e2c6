#include "gateway/groupverdict.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(group_verdict)
{
  fleet::engine_group group{ { "g" }, { 4 }, { "llm" }, { "pair" }, { { "a" }, { "b" } }, {}, true, false };
  fleet::engine_report report;

  void setup() override
  {
    report.life = { 9 };
    report.member = fleet::membership{ { "g" }, { 4 }, 1, fleet::member_phase::ready };
  }

  bool Fine() { return FaultOfMember(group, { "b" }, { 9 }, report).empty(); }
};
// clang-format on

TEST(group_verdict, MemberThatAnswersFromItsPlaceIsFine)
{
  CHECK(Fine());
}

TEST(group_verdict, SilenceRestartAndAnotherGroupAreFaults)
{
  CHECK_FALSE(FaultOfMember(group, { "b" }, { 9 }, std::nullopt).empty());
  report.life = { 10 };
  CHECK_FALSE(Fine());
  report.life = { 9 };
  report.member->epoch = { 5 };
  CHECK_FALSE(Fine());
  report.member.reset();
  CHECK_FALSE(Fine());
}

TEST(group_verdict, BrokenHeadIsAFault)
{
  report.member->phase = fleet::member_phase::broken;
  CHECK_FALSE(Fine());
}
