#include "gateway/memberfault.h"

#include <CppUTest/TestHarness.h>

using namespace persimmon;
using namespace persimmon::gateway;

// clang-format off
TEST_GROUP(member_fault)
{
  fleet::engine_group group{ { "g" }, { 4 }, { "llm" }, { "pair" }, { { "a" }, { "b" } }, {}, true, false };
  fleet::engine_report report;

  void setup() override
  {
    report.life = { 9 };
    report.member = fleet::membership{ { "g" }, { 4 }, 1, fleet::member_phase::ready };
  }

  bool HasNoFault() { return FindMemberFault(group, { "b" }, { 9 }, report).empty(); }
};
// clang-format on

TEST(member_fault, MemberThatReportsItsGroupAndEpochHasNoFault)
{
  CHECK(HasNoFault());
}

TEST(member_fault, MissingReportRestartAndOtherMembershipAreFaults)
{
  CHECK_FALSE(FindMemberFault(group, { "b" }, { 9 }, std::nullopt).empty());
  report.life = { 10 };
  CHECK_FALSE(HasNoFault());
  report.life = { 9 };
  report.member->epoch = { 5 };
  CHECK_FALSE(HasNoFault());
  report.member.reset();
  CHECK_FALSE(HasNoFault());
}

TEST(member_fault, BrokenPhaseIsAFault)
{
  report.member->phase = fleet::member_phase::broken;
  CHECK_FALSE(HasNoFault());
}
